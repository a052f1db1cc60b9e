// The text format that metrics scrapers read.

#ifndef APRICOTSTILE_METRICS_TEXT_FORMAT_HPP
#define APRICOTSTILE_METRICS_TEXT_FORMAT_HPP

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace apricotstile::metrics {

/// One line for each number in `dump`, named after its path: the number at
/// {"ingress": {"waiting": 3}} becomes "apricotstile_ingress_waiting 3".
/// Lists become their length; texts are left out.
[[nodiscard]] std::string to_text_format(const nlohmann::json& dump);

} // namespace apricotstile::metrics

#endif

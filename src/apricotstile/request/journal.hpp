// History of one request, for dumps.

#ifndef APRICOTSTILE_REQUEST_JOURNAL_HPP
#define APRICOTSTILE_REQUEST_JOURNAL_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/request/outcome.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace apricotstile::request {

enum class journal_step : std::uint8_t {
    arrived,
    sent,
    send_failed,
    link_lost,
    refused,
    waits_for_map,
    backs_off
};

struct journal_entry {
    instant at;
    journal_step step{journal_step::arrived};
    /// The host concerned; zero for none.
    host_id host;
    /// The reason of a step that failed.
    request::refusal refusal{request::refusal::none};
};

/// Stays short: a few entries for each send, and sends are limited.
using journal = std::vector<journal_entry>;

[[nodiscard]] std::string_view to_string(journal_step value);

} // namespace apricotstile::request

#endif

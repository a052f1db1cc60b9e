// Faults of the upstream stand-in, changed by POST /faults.

#ifndef APRICOTSTILE_STANDINS_UPSTREAM_UPSTREAM_FAULTS_HPP
#define APRICOTSTILE_STANDINS_UPSTREAM_UPSTREAM_FAULTS_HPP

#include <string>

namespace apricotstile::standins {

struct health_report;
struct upstream_service;

/// Applies the JSON `text`, any of {"shed_share":0.1,"health_lies":true,
/// "mean_ms":5}. Throws std::invalid_argument or an exception of the JSON
/// library.
void change_faults(
    const std::string& text, upstream_service& service, health_report& health
);

} // namespace apricotstile::standins

#endif

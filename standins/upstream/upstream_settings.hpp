// The flags of the upstream stand-in.

#ifndef APRICOTSTILE_STANDINS_UPSTREAM_UPSTREAM_SETTINGS_HPP
#define APRICOTSTILE_STANDINS_UPSTREAM_UPSTREAM_SETTINGS_HPP

#include <standins/upstream/served_service.hpp>
#include <standins/upstream/service_time.hpp>

#include <string>
#include <vector>

namespace apricotstile::standins {

enum class poison_effect : std::uint8_t { none, crash, freeze };

struct upstream_settings {
    std::string listen;
    /// The daemon's address for upstreams.
    std::string daemon;
    /// Where executions are recorded; empty: in memory only.
    std::string record_file;
    std::vector<served_service> services;
    service_time times;
    bool checks_tokens{true};
    poison_effect poison{poison_effect::crash};
    duration health_lag{0};
    bool health_lies{false};
    std::uint64_t seed{1};
    /// Leaving ends when no work has come for this long, and at the latest
    /// after the limit.
    duration leave_quiet{0};
    duration leave_limit{0};
};

} // namespace apricotstile::standins

#endif

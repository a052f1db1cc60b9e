// The flags of the load caller.

#ifndef APRICOTSTILE_STANDINS_CALLER_LOAD_SETTINGS_HPP
#define APRICOTSTILE_STANDINS_CALLER_LOAD_SETTINGS_HPP

#include <standins/caller/call_generator.hpp>
#include <standins/caller/retry_policy.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace apricotstile::standins {

struct load_settings {
    /// Callers' addresses of daemons.
    std::vector<std::string> daemons;
    std::size_t connections_per_daemon{16};
    duration run_for{0};
    duration deadline{0};
    call_mix mix;
    retry_policy retries;
    std::string name_prefix;
    std::uint64_t seed{1};
    std::string log_file;
};

} // namespace apricotstile::standins

#endif

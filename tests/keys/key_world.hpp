// Daemons, their instances and the table on a virtual clock, under random
// delays, losses, freezes and restarts. Checks that no two instances hold a
// key at the same time.

#ifndef APRICOTSTILE_TESTS_KEYS_KEY_WORLD_HPP
#define APRICOTSTILE_TESTS_KEYS_KEY_WORLD_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace apricotstile::tests {

struct key_world_options {
    std::uint64_t seed{1};
    duration length{std::chrono::seconds{60}};
    /// Whether hosts, links, the table and clocks misbehave.
    bool faults{true};
    /// Hosts that are lost for good at 20 s.
    std::uint32_t lost_hosts{0};
    /// The table is away from 30 s on for this time.
    duration table_outage{0};
    /// Deliberate mistake: guardians let go this much too early.
    duration guardians_forget{0};
    /// Deliberate mistake: an ended lease is acquired on an old map.
    bool ignores_map_condition{false};
};

struct key_world_result {
    /// What was broken, or nothing.
    std::optional<std::string> violation;
    /// Grants that instances took.
    std::uint64_t grants{0};
    /// Owners whose leases others ended.
    std::uint64_t depositions{0};
    /// The longest time in which some key was held by nobody after the first
    /// division.
    duration longest_gap{0};
    /// The same in the last ten seconds.
    duration last_gap{0};
};

[[nodiscard]] key_world_result run_key_world(const key_world_options& options);

} // namespace apricotstile::tests

#endif

// Simulates daemons, their instances and the table on a virtual clock, with
// random delays, message losses, process freezes and restarts. Checks that no
// two instances hold a key at the same time.

#ifndef APRICOTSTILE_TESTS_KEYS_KEY_WORLD_HPP
#define APRICOTSTILE_TESTS_KEYS_KEY_WORLD_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/routing/grant_method.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace apricotstile::tests {

struct key_simulation_options {
    std::uint64_t seed{1};
    duration length{std::chrono::seconds{60}};
    /// With grants by call, calls are lost, late, carried out late or twice.
    routing::grant_method method{routing::grant_method::heartbeat};
    /// Whether to inject faults of daemons, instances, messages and the table.
    bool faults{true};
    /// Number of hosts that fail permanently at 20 s.
    std::uint32_t lost_hosts{0};
    /// The table is unavailable from 30 s on for this time.
    duration table_outage{0};
    /// With faults, an instance that restarts may leave its earlier run up,
    /// which holds its keys until they expire.
    bool runs_overlap{false};
    /// How often the table comes back from a copy that is some seconds old.
    std::uint32_t rewinds{0};
    /// Seeded fault: promises expire this much too early at the guardians.
    duration early_promise_expiry{0};
    /// Seeded fault: transactions omit the condition on the map version, so
    /// that the map can be changed on an outdated one.
    bool omits_map_condition{false};
    /// Seeded fault: an ended lease is acquired on an outdated map.
    bool ignores_map_reads{false};
    /// Seeded fault: an owner's releases don't write its lease row.
    bool omits_lease_on_release{false};
    /// Seeded fault: keys that nobody has claimed in a new era are taken over
    /// while a lease of the earlier era may be valid.
    bool ignores_earlier_leases{false};
    /// Seeded fault: a grant call without a response counts as not sent.
    bool ignores_lost_calls{false};
};

struct key_simulation_result {
    /// The first violated invariant; nothing if all held.
    std::optional<std::string> violation;
    /// Number of grants that instances accepted.
    std::uint64_t grants{0};
    /// Number of revocations of owners' leases that daemons requested.
    std::uint64_t revocations{0};
    /// The longest time after the initial assignment in which no instance held
    /// some key.
    duration longest_gap{0};
    /// The same, for the last ten seconds of the run.
    duration last_gap{0};
};

[[nodiscard]] key_simulation_result
run_key_simulation(const key_simulation_options& options);

} // namespace apricotstile::tests

#endif

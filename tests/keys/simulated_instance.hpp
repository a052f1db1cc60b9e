// An instance of the simulation: what it holds by answers to its heartbeats or
// by calls, on a clock that may be slow.

#ifndef APRICOTSTILE_TESTS_KEYS_SIMULATED_INSTANCE_HPP
#define APRICOTSTILE_TESTS_KEYS_SIMULATED_INSTANCE_HPP

#include <apricotstile/keys/heartbeat.hpp>
#include <apricotstile/keys/instance_call.hpp>

#include <vector>

namespace apricotstile::tests {

struct simulated_hold {
    keys::key_range keys;
    fencing_token fence;
    instant expires_at;
};

struct simulated_instance {
    directory::instance_run identity;
    bool up{true};
    /// Rate of its clock; grants last longer on a slow one.
    double rate{1};
    std::uint64_t sequence{0};
    std::vector<simulated_hold> holds;
    std::vector<keys::released_range> released;
    std::uint64_t last_answered{0};
    /// Each token that it has seen.
    std::vector<keys::held_range> seen_tokens;
};

/// Drops what has expired.
void expire_grants(simulated_instance& instance, instant now);

/// Replaces what it holds by the grants of an answer to a heartbeat that was
/// sent at `sent`. What is left out counts as released.
void take_grants(
    simulated_instance& instance,
    const keys::heartbeat_answer& answer,
    instant sent
);

/// Carries out a grant that arrived at `arrived`. Returns false if it has seen
/// a higher token on one of the keys.
bool take_grant(
    simulated_instance& instance, const keys::grant_call& call, instant arrived
);

/// Carries out a release: drops what it holds under the call's token or a lower
/// one.
void release_keys(simulated_instance& instance, const keys::release_call& call);

/// What it says that it holds.
[[nodiscard]] std::vector<keys::held_range>
held_ranges(const simulated_instance& instance);

} // namespace apricotstile::tests

#endif

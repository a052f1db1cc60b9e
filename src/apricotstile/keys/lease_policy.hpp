// Durations and quorums of leases and of the promises that keep them valid.

#ifndef APRICOTSTILE_KEYS_LEASE_POLICY_HPP
#define APRICOTSTILE_KEYS_LEASE_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstddef>

namespace apricotstile::keys {

struct lease_policy {
    /// How long a guardian's promise lasts, counted by the holder from the time
    /// at which it sent the request.
    duration promise_duration{std::chrono::seconds{3}};
    /// Interval between two requests for promises.
    duration promise_interval{std::chrono::milliseconds{500}};
    /// Maximum number of guardians of one lease.
    std::size_t guardians{5};
    /// A lease expires this long after its last renewal in the table, even if
    /// guardians still promise it.
    duration table_lease_duration{std::chrono::seconds{20}};
    /// Interval between two renewals in the table.
    duration table_renewal_interval{std::chrono::seconds{9}};
    /// The relative rate by which a clock may be slow.
    double clock_drift{0.03};
    /// Fixed safety margin, in addition to the clock drift, wherever one host
    /// relies on an expiry that another host measures.
    duration safety_margin{std::chrono::milliseconds{100}};
};

/// How long a promise binds its guardian. Longer than on the holder's side, so
/// that the holder's lease expires first even on a slow clock.
[[nodiscard]] inline duration max_promise_duration(const lease_policy& policy) {
    return scaled(policy.promise_duration, 1.0 + policy.clock_drift) +
           policy.safety_margin;
}

/// The number of promises out of `guardians` that keep a lease valid.
[[nodiscard]] inline std::size_t promise_quorum(std::size_t guardians) {
    return (guardians + 1) / 2;
}

/// The number of consents out of `guardians` that a revocation needs. Any such
/// quorum has a guardian in common with any quorum of promises.
[[nodiscard]] inline std::size_t consent_quorum(std::size_t guardians) {
    return guardians - promise_quorum(guardians) + 1;
}

} // namespace apricotstile::keys

#endif

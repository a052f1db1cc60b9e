// Lengths of leases and of the promises that they rest on.

#ifndef APRICOTSTILE_KEYS_LEASE_POLICY_HPP
#define APRICOTSTILE_KEYS_LEASE_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstddef>

namespace apricotstile::keys {

struct lease_policy {
    /// How long a guardian's promise lasts, counted from when it was asked.
    duration promise_length{std::chrono::seconds{3}};
    duration promise_interval{std::chrono::milliseconds{500}};
    /// Guardians of one lease.
    std::size_t guardians{5};
    /// A lease that the table hasn't confirmed for so long has ended, even
    /// where guardians still promise it.
    duration unconfirmed_limit{std::chrono::seconds{20}};
    /// Between two confirmations in the table.
    duration confirm_interval{std::chrono::seconds{6}};
    /// Clocks may run this much slow.
    double clock_drift{0.03};
    duration margin{std::chrono::milliseconds{100}};
};

/// A promise as its guardian counts it.
[[nodiscard]] inline duration longest_promise(const lease_policy& policy) {
    return scaled(policy.promise_length, 1.0 + policy.clock_drift) +
           policy.margin;
}

/// Promises out of `guardians` that a lease needs.
[[nodiscard]] inline std::size_t promises_needed(std::size_t guardians) {
    return (guardians + 1) / 2;
}

/// Agreements out of `guardians` that a deposition needs: any of them share
/// a guardian with any promises that a lease rests on.
[[nodiscard]] inline std::size_t agreements_needed(std::size_t guardians) {
    return guardians - promises_needed(guardians) + 1;
}

} // namespace apricotstile::keys

#endif

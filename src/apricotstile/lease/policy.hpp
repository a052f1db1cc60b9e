// Lengths and limits of leases, heartbeats and depositions.

#ifndef APRICOTSTILE_LEASE_POLICY_HPP
#define APRICOTSTILE_LEASE_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstddef>

namespace apricotstile::lease {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr duration lease_length = 1000ms;
constexpr duration heartbeat_interval = 250ms;

/// Every host's boot-time clock is taken to run at a rate within one part in
/// this many of true time, fast or slow.
constexpr duration::rep drift_bound_divisor = 100;

/// What a clock at the drift bound gains or loses over one lease. Holders
/// count a lease shorter by it and guardians longer by it.
constexpr duration drift_margin = lease_length / drift_bound_divisor;

/// Members deposed by one transaction, at most.
constexpr std::size_t deposition_batch = 256;

/// How often the shell sends a `tick`, at least.
constexpr duration tick_interval = 10ms;

/// The figures above and the slower ones, as one value that is passed about.
struct policy {
    duration lease = lease_length;
    duration margin = drift_margin;
    duration heartbeat = heartbeat_interval;

    /// Between renewals in the table.
    duration table_renewal = 250ms;
    /// Between readings by those that watch such renewals.
    duration table_watch = 100ms;

    /// A first member waits up to this long before it joins, so that hosts
    /// started together see each other.
    duration join_spread = 2s;
    duration first_backoff = 250ms;
    duration longest_backoff = 5s;

    /// A guardian that hasn't answered for this long is replaced.
    duration silent_guardian = 2s;
    /// Replacements are spread over this long.
    duration replacement_spread = 2s;
    /// A candidate that hasn't promised within this is passed over.
    duration candidate_patience = 500ms;
    /// For how long a host that didn't answer isn't asked again.
    duration avoid_silent_host = 60s;
    /// Between looks for guardians in better places.
    duration placement_review = 5s;

    /// Between reports of one suspicion, doubled up to the longest.
    duration first_report_interval = 250ms;
    duration longest_report_interval = 8s;
    /// When the planner hasn't asked for consent within this, the guardian
    /// deposes the member itself.
    duration planner_patience = 100ms;

    /// Guardians whose consent a deposition needs; a lease needs two promises,
    /// so fewer than two of the three would not be safe.
    std::size_t consents = 2;
    /// Depositions are gathered for this long before each call to the table.
    duration deposition_gathering = 10ms;
    /// Between requests for the same consent.
    duration consent_retry = 50ms;
    /// A suspicion that can't be acted upon is forgotten after this.
    duration suspicion_lifetime = 3s;
    /// Consent is asked for only this long after the table last answered.
    duration table_confidence = 1s;
};

/// For how long after sending a heartbeat its holder relies on the promise.
[[nodiscard]] constexpr duration held_for(const policy& limits) {
    return limits.lease - limits.margin;
}

/// For how long after a heartbeat its guardian consents to nothing.
[[nodiscard]] constexpr duration promised_for(const policy& limits) {
    return limits.lease + limits.margin;
}

} // namespace apricotstile::lease

#endif

// Durations and limits of leases, heartbeats and depositions.

#ifndef APRICOTSTILE_LEASE_POLICY_HPP
#define APRICOTSTILE_LEASE_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstddef>

namespace apricotstile::lease {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr duration lease_length = 1000ms;
constexpr duration heartbeat_interval = 250ms;

/// Assumed bound on clock drift: each host's boot-time clock runs faster or
/// slower than true time by at most one part in this many.
constexpr duration::rep drift_bound_divisor = 100;

/// Error of a clock at the drift bound over one lease. Holders count a lease
/// shorter by this margin and guardians count it longer.
constexpr duration drift_margin = lease_length / drift_bound_divisor;

/// Maximum number of members deposed by one transaction.
constexpr std::size_t max_deposition_batch = 256;

/// Longest time between two `tick` events.
constexpr duration tick_interval = 10ms;

/// Durations and limits that a participant uses; tests vary them.
struct policy {
    duration lease = lease_length;
    duration margin = drift_margin;
    duration heartbeat = heartbeat_interval;

    /// Time between renewals of a lease in the table.
    duration table_renewal_interval = 250ms;
    /// Time between reads by the daemons that watch such renewals.
    duration table_watch_interval = 100ms;

    /// While there are too few members for guardians, a joining daemon waits a
    /// random time up to this long, so that hosts started together see each
    /// other.
    duration max_join_delay = 2s;
    duration initial_backoff = 250ms;
    duration max_backoff = 5s;

    /// A guardian that hasn't answered for longer than this is replaced.
    duration guardian_silence_timeout = 2s;
    /// A replacement starts after a random delay up to this long.
    duration max_replacement_delay = 2s;
    /// A candidate guardian that hasn't promised within this time is rejected.
    duration candidate_timeout = 500ms;
    /// How long a host that didn't answer isn't considered as a guardian.
    duration silent_host_avoidance = 60s;
    /// Time between searches for guardians in better localities.
    duration locality_review_interval = 5s;

    /// Time between reports of the same suspicion; doubles up to the longest.
    duration initial_report_interval = 250ms;
    duration max_report_interval = 8s;
    /// When the planner hasn't asked for consent within this time, the
    /// guardian reports the member to the next deputy.
    duration planner_timeout = 100ms;

    /// Number of guardians that must consent to a deposition. A lease needs two
    /// promises of three, so fewer than two consents would not be safe.
    std::size_t required_consents = 2;
    /// How long depositions are collected into one batch before a call to the
    /// table.
    duration deposition_batch_delay = 10ms;
    /// Time between requests for the same consent.
    duration consent_retry_interval = 50ms;
    /// A suspicion that isn't reported again is dropped after this time.
    duration suspicion_lifetime = 3s;
    /// Consent is requested only if the table has answered within this time.
    duration max_table_answer_age = 1s;
};

/// How long after sending a heartbeat the holder relies on the promise.
[[nodiscard]] constexpr duration holder_lease_length(const policy& limits) {
    return limits.lease - limits.margin;
}

/// How long after receiving a heartbeat the guardian refuses to consent.
[[nodiscard]] constexpr duration guardian_lease_length(const policy& limits) {
    return limits.lease + limits.margin;
}

} // namespace apricotstile::lease

#endif

// The promises that a guardian has made, and the depositions to which it has
// consented. Kept in memory only, so they are bound to the daemon's incarnation
// and lost with it.

#ifndef APRICOTSTILE_LEASE_INTERNAL_GUARDIAN_HPP
#define APRICOTSTILE_LEASE_INTERNAL_GUARDIAN_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/lease/message.hpp>
#include <apricotstile/lease/policy.hpp>
#include <apricotstile/member/member_set.hpp>

#include <map>
#include <optional>
#include <vector>

namespace apricotstile::lease {

/// A lease holder that this daemon guards or has been asked to guard.
struct guarded_holder {
    /// No consent is given before this time; never decreases.
    instant promised_until = instant::min();
    /// The newest generation under which this daemon knows that it is on the
    /// holder's guardian list, zero if none; and when it first learned so.
    guardian_generation listed_generation;
    instant listed_since = instant::min();
    /// The newest generation under which it has consented to a deposition. No
    /// promise is made under this or an earlier generation.
    guardian_generation consented;

    /// Schedule of reports that the promise has expired; the interval is zero
    /// before the first report.
    instant next_report = instant::min();
    duration report_interval{};
    instant last_report = instant::min();
    /// Recipient of the report: the planner if zero, else the deputy with this
    /// number.
    std::size_t deputy{0};
    /// When consent was last requested.
    instant last_request = instant::min();
};

struct guardian_state {
    std::map<member::member_ref, guarded_holder> holders;
};

/// The incarnations for which a guardian may answer.
struct guardian_identity {
    host_id host;
    /// The current membership; empty while this daemon isn't a member.
    std::optional<member::member_ref> self;
    /// From this time no earlier incarnation on this host can promise anything,
    /// because this process receives all messages to the peers address.
    instant since;
};

/// Returns the answer to a heartbeat: a promise or a refusal.
[[nodiscard]] message answer(
    guardian_state& state,
    const guardian_identity& own,
    const heartbeat& request,
    const policy& limits,
    instant now
);

/// Returns the answer to a consent request: consent or a refusal. Also consents
/// on behalf of an earlier incarnation on this host, once each promise that
/// that incarnation can have made has expired.
[[nodiscard]] message answer(
    guardian_state& state,
    const guardian_identity& own,
    const consent_request& request,
    const policy& limits,
    instant now
);

void handle_release(guardian_state& state, const release& received);

/// Learns from `new_rows`, rows just merged into `members`, which members list
/// this daemon as a guardian. Drops holders that own nothing any more or that
/// have replaced this guardian.
void handle_member_rows(
    guardian_state& state,
    const member::member_ref& self,
    const member::member_set& members,
    const std::vector<member::member_row>& new_rows,
    instant now
);

/// A report that is due about a holder whose promise has expired.
struct due_report {
    suspicion body;
    /// Zero for the planner; else the number of the deputy, after the earlier
    /// recipients haven't requested consent in time.
    std::size_t deputy{0};
};

/// Returns the reports due now and schedules the next report of each.
[[nodiscard]] std::vector<due_report>
collect_due_reports(guardian_state& state, const policy& limits, instant now);

} // namespace apricotstile::lease

#endif

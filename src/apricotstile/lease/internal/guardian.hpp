// A guardian's side: what it has promised to whom, and to whose deposition it
// has consented. Held in memory only, under the daemon's own incarnation.

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

/// One member that this daemon guards, or has been asked to guard.
struct ward {
    /// Nothing is consented to before this; only ever moves forward.
    instant promised_until = instant::min();
    /// The newest generation under which the guardian knows that it is on the
    /// list, zero while it isn't; and when it first learned that it is.
    guardian_generation listed_under;
    instant listed_since = instant::min();
    /// Under this and earlier generations nothing is promised any more.
    guardian_generation consented;

    /// Reports of the promise having run out; the interval is zero before
    /// the first.
    instant next_report = instant::min();
    duration report_interval{};
    instant last_report = instant::min();
    /// Who is told: the planner, or the deputy of this number after it.
    std::size_t deputy{0};
    /// When a deposer last asked for consent.
    instant last_request = instant::min();
};

struct guardian {
    std::map<member::member_ref, ward> wards;
};

/// Whom a guardian answers for.
struct guardian_identity {
    host_id host;
    /// The present member; empty while this daemon is none.
    std::optional<member::member_ref> self;
    /// Since when no earlier incarnation on this host can promise anything:
    /// this process holds the peers address and is none of them.
    instant since;
};

/// The answer to a heartbeat: a promise or a refusal.
[[nodiscard]] message answer(
    guardian& state,
    const guardian_identity& own,
    const heartbeat& asked,
    const policy& limits,
    instant now
);

/// The answer to a deposer: consent or a refusal. Consents in the name of an
/// earlier incarnation on this host too, once whatever that one promised has
/// run out.
[[nodiscard]] message answer(
    guardian& state,
    const guardian_identity& own,
    const consent_request& asked,
    const policy& limits,
    instant now
);

void take_release(guardian& state, const release& given);

/// Learns from `news`, rows that `members` has just taken in, which members
/// list this daemon as guardian, and forgets wards that are over or have other
/// guardians by now.
void take_members(
    guardian& state,
    const member::member_ref& self,
    const member::member_set& members,
    const std::vector<member::member_row>& news,
    instant now
);

/// A ward whose promise has run out and whose report is due.
struct due_report {
    suspicion body;
    /// Zero for the planner; else the deputy of this number, since those
    /// before it haven't asked for consent in time.
    std::size_t deputy{0};
};

/// The reports due now; each is counted as made.
[[nodiscard]] std::vector<due_report>
take_due_reports(guardian& state, const policy& limits, instant now);

} // namespace apricotstile::lease

#endif

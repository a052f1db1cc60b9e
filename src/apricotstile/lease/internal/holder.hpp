// A holder's side of the lease: the promises that it may rely on.

#ifndef APRICOTSTILE_LEASE_INTERNAL_HOLDER_HPP
#define APRICOTSTILE_LEASE_INTERNAL_HOLDER_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/lease/message.hpp>
#include <apricotstile/lease/policy.hpp>
#include <apricotstile/member/own_row.hpp>

#include <map>
#include <vector>

namespace apricotstile::lease {

struct holder {
    /// By guardian incarnation. Counted from when the heartbeat was sent, less
    /// the drift margin, so an answer adds nothing by being late. A promise
    /// holds whatever list it was given for.
    std::map<member::member_ref, instant> promised_until;
    /// The same for renewals in the table, counted from when they were sent.
    instant renewed_until = instant::min();
};

void take_promise(holder& state, const promise& given, const policy& limits);

/// Until when two of `guardians` have promised.
[[nodiscard]] instant promised_by_two(
    const holder& state, const std::vector<member::member_ref>& guardians
);

/// Until when the lease holds under every record that the table may hold.
[[nodiscard]] instant valid_until(
    const holder& state, const member::own_row& row, const policy& limits
);

/// Drops promises of guardians that are no longer asked.
void forget_promises_before(holder& state, instant when);

} // namespace apricotstile::lease

#endif

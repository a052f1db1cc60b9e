// The promises that a lease holder has received, and the end of its lease that
// follows from them.

#ifndef APRICOTSTILE_LEASE_INTERNAL_RECEIVED_PROMISES_HPP
#define APRICOTSTILE_LEASE_INTERNAL_RECEIVED_PROMISES_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/lease/message.hpp>
#include <apricotstile/lease/policy.hpp>
#include <apricotstile/member/own_row.hpp>

#include <map>
#include <vector>

namespace apricotstile::lease {

struct received_promises {
    /// By guardian incarnation. Counted from the send time of the heartbeat,
    /// less the drift margin, so a late answer doesn't extend the promise. A
    /// promise is valid for any guardian list that contains the guardian.
    std::map<member::member_ref, instant> promised_until;
    /// The same for renewals in the table, counted from their send time.
    instant renewed_until = instant::min();
};

void handle_promise(
    received_promises& state, const promise& received, const policy& limits
);

/// The second latest end of the promises of `guardians`: until then at least
/// two of them have promised.
[[nodiscard]] instant promised_by_quorum(
    const received_promises& state,
    const std::vector<member::member_ref>& guardians
);

/// The end of the lease under each record that the table may contain, so
/// including that of a write whose outcome is unknown.
[[nodiscard]] instant valid_until(
    const received_promises& state,
    const member::own_row& row,
    const policy& limits
);

/// Drops promises that expired before `when`.
void drop_promises_before(received_promises& state, instant when);

} // namespace apricotstile::lease

#endif

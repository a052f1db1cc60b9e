// Maintains a membership: heartbeats to guardians, renewals in the table and
// other writes of the member's row.

#ifndef APRICOTSTILE_LEASE_INTERNAL_MEMBERSHIP_HPP
#define APRICOTSTILE_LEASE_INTERNAL_MEMBERSHIP_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/lease/action.hpp>
#include <apricotstile/member/own_row.hpp>
#include <apricotstile/platform/operations.hpp>

namespace apricotstile::lease {

struct participant;

struct membership_state {
    instant next_heartbeat = instant::min();
    instant next_repair = instant::min();
    /// No read or write of the member's row starts before this.
    instant next_call = instant::min();
    instant next_renewal = instant::min();
    /// The newest generation for which a guardian has refused a heartbeat
    /// because it consented to this member's deposition.
    guardian_generation consented;
};

void advance_membership(
    participant& self, instant now, random_source& random, actions& out
);

void handle_membership_rows(
    participant& self,
    const platform::rows_read& answer,
    instant now,
    actions& out
);

void handle_membership_commit(
    participant& self,
    const platform::transaction_done& done,
    instant now,
    actions& out
);

/// Handles this member's row as read from the table or received from a peer.
void handle_own_row(
    participant& self, const member::member_row& seen, instant now, actions& out
);

/// Publishes this member's confirmed row to peers and the planner.
void publish_own_row(participant& self, actions& out);

} // namespace apricotstile::lease

#endif

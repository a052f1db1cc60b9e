// What a member does to stay one: heartbeats, renewals and changes of its row.

#ifndef APRICOTSTILE_LEASE_INTERNAL_KEEPING_HPP
#define APRICOTSTILE_LEASE_INTERNAL_KEEPING_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/lease/action.hpp>
#include <apricotstile/member/own_row.hpp>
#include <apricotstile/platform/operations.hpp>

namespace apricotstile::lease {

struct participant;

struct keeping {
    instant next_heartbeat = instant::min();
    instant next_repair = instant::min();
    /// No call about the own row before this.
    instant next_call = instant::min();
    instant next_renewal = instant::min();
    /// The newest generation under which a guardian refused, having consented
    /// to the member's deposition.
    guardian_generation consented;
};

void advance_keeping(
    participant& self, instant now, random_source& random, actions& out
);

void take_keeping_rows(
    participant& self,
    const platform::rows_read& answer,
    instant now,
    actions& out
);

void take_keeping_commit(
    participant& self,
    const platform::transaction_done& done,
    instant now,
    actions& out
);

/// Takes a sighting of the own row from a peer.
void take_own_sighting(
    participant& self, const member::member_row& seen, instant now, actions& out
);

/// Shows the confirmed row to everybody.
void spread_own_row(participant& self, actions& out);

} // namespace apricotstile::lease

#endif

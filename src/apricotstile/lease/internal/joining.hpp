// How a daemon becomes a member: read the members, make sure that no earlier
// incarnation on its host still owns anything, write its row.

#ifndef APRICOTSTILE_LEASE_INTERNAL_JOINING_HPP
#define APRICOTSTILE_LEASE_INTERNAL_JOINING_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/lease/action.hpp>
#include <apricotstile/member/member_row.hpp>
#include <apricotstile/platform/operations.hpp>

#include <optional>

namespace apricotstile::lease {

struct participant;

struct joining {
    instant next_attempt = instant::min();
    /// Zero until a call failed.
    duration backoff{};
    /// Calls in flight; zero when none.
    platform::operation_id read;
    platform::operation_id join;
    platform::operation_id deposition;

    /// The row that `join` writes, and when it was sent.
    member::member_record record;
    instant submitted = instant::min();

    /// An earlier incarnation on this host that isn't over, and since when its
    /// row has been seen unchanged by this process.
    std::optional<member::member_row> previous;
    instant previous_since = instant::min();

    /// A first member has waited for others to appear.
    bool has_spread{false};
};

void advance_joining(participant& self, instant now, actions& out);

void take_joining_rows(
    participant& self,
    const platform::rows_read& answer,
    instant now,
    random_source& random,
    actions& out
);

void take_joining_commit(
    participant& self,
    const platform::transaction_done& done,
    instant now,
    random_source& random,
    actions& out
);

} // namespace apricotstile::lease

#endif

// The join procedure of a daemon: read the members' rows, ensure that no
// earlier incarnation on the host still owns slices, write the new row.

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

struct join_state {
    instant next_attempt = instant::min();
    /// Delay after the last failed call; zero before the first failure.
    duration backoff{};
    /// Calls in flight; zero if none.
    platform::operation_id read;
    platform::operation_id write;
    platform::operation_id deposition;

    /// The record that the call `write` submits, and when it was submitted.
    member::member_record record;
    instant submitted = instant::min();

    /// An earlier incarnation on this host that may still own slices, and
    /// since when this process has read its row unchanged.
    std::optional<member::member_row> previous;
    instant previous_since = instant::min();

    /// The random wait for other hosts has started or wasn't needed.
    bool has_waited{false};
};

void advance_join(participant& self, instant now, actions& out);

void handle_join_rows(
    participant& self,
    const platform::rows_read& answer,
    instant now,
    random_source& random,
    actions& out
);

void handle_join_commit(
    participant& self,
    const platform::transaction_done& done,
    instant now,
    random_source& random,
    actions& out
);

} // namespace apricotstile::lease

#endif

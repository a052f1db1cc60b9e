// One daemon's part in the lease protocol: its membership, its own lease, and
// its work as a guardian of other members. A state machine without I/O: the
// caller delivers events and performs the actions that are returned.

#ifndef APRICOTSTILE_LEASE_PARTICIPANT_HPP
#define APRICOTSTILE_LEASE_PARTICIPANT_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/lease/action.hpp>
#include <apricotstile/lease/event.hpp>
#include <apricotstile/lease/internal/deposer.hpp>
#include <apricotstile/lease/internal/guardian.hpp>
#include <apricotstile/lease/internal/joining.hpp>
#include <apricotstile/lease/internal/membership.hpp>
#include <apricotstile/lease/internal/operation_counter.hpp>
#include <apricotstile/lease/internal/received_promises.hpp>
#include <apricotstile/lease/internal/repair.hpp>
#include <apricotstile/lease/policy.hpp>
#include <apricotstile/member/member_set.hpp>
#include <apricotstile/member/own_row.hpp>

#include <optional>

namespace apricotstile::lease {

enum class phase : std::uint8_t {
    /// Not a member: owns no slices and makes no promises.
    joining,
    joined,
    /// Has left and won't rejoin.
    left
};

/// Periodic decision whether this daemon watches the rows of members that
/// renew their lease in the table.
struct table_watch_state {
    instant next_review = instant::min();
    bool enabled{false};
};

/// Changed only by `step`.
struct participant {
    policy limits;
    /// The desired host, location, services, addresses and state of this
    /// daemon's record. Incarnation, generation and guardians are not read
    /// from here.
    member::member_record desired;
    phase stage{phase::joining};
    /// When this process handled its first event, or when its last membership
    /// ended.
    std::optional<instant> identity_since;
    join_state join;
    /// Meaningful while joined, like `promises`, `repair` and `membership`.
    member::own_row row;
    received_promises promises;
    guardian_repair repair;
    membership_state membership;
    guardian_state guardian;
    deposition_state depositions;
    table_watch_state table_watch;
    member::member_set members;
    /// Zero while no planner is known.
    host_id planner;
    operation_counter operations;
};

/// Returns a participant that will join with the record `desired`. Call this
/// only after the peers address is bound exclusively: the protocol relies on
/// this process being the only receiver of messages to `desired.self.host`.
[[nodiscard]] participant
make_participant(member::member_record desired, const policy& limits = {});

/// Handles one event. `now` must be read from the boot-time clock after the
/// event was taken from its socket or queue: an earlier reading would shorten
/// a guardian's promise. Every call to the platform must eventually be
/// completed by an event, as `unknown` or unanswered after a timeout.
[[nodiscard]] actions step(
    participant& self, const event& received, instant now, random_source& random
);

/// End of this daemon's lease, up to which it may act as owner of its slices;
/// in the past when it has none. Check it immediately before each dispatch, and
/// let no grant or deadline extend beyond it.
[[nodiscard]] instant lease_valid_until(const participant& self);

/// Whether `self_ref` is a member that may own slices; doesn't check that the
/// lease is still valid.
[[nodiscard]] bool may_own(const participant& self);

/// This daemon's current membership; incarnation zero while it has none.
[[nodiscard]] member::member_ref self_ref(const participant& self);

} // namespace apricotstile::lease

#endif

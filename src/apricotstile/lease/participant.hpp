// One daemon's membership, lease and guardianship as a single pure state.
// The shell feeds it events and performs the actions that come back.

#ifndef APRICOTSTILE_LEASE_PARTICIPANT_HPP
#define APRICOTSTILE_LEASE_PARTICIPANT_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/lease/action.hpp>
#include <apricotstile/lease/event.hpp>
#include <apricotstile/lease/internal/deposer.hpp>
#include <apricotstile/lease/internal/guardian.hpp>
#include <apricotstile/lease/internal/holder.hpp>
#include <apricotstile/lease/internal/joining.hpp>
#include <apricotstile/lease/internal/keeping.hpp>
#include <apricotstile/lease/internal/operation_counter.hpp>
#include <apricotstile/lease/internal/repair.hpp>
#include <apricotstile/lease/policy.hpp>
#include <apricotstile/member/member_set.hpp>
#include <apricotstile/member/own_row.hpp>

#include <optional>

namespace apricotstile::lease {

enum class phase : std::uint8_t {
    /// No member: owns nothing, guards nobody.
    joining,
    joined,
    /// Left for good.
    left
};

/// Whether this daemon watches members that renew in the table.
struct watch_review {
    instant next = instant::min();
    bool watches{false};
};

/// Change it only through `step`.
struct participant {
    policy limits;
    /// The record that this daemon wants: its host, location, services,
    /// addresses and state. Incarnation, generation and guardians are not
    /// taken from here.
    member::member_record wish;
    phase stage{phase::joining};
    /// When this process took its first event, or last ceased to be a member.
    std::optional<instant> identity_since;
    joining join;
    /// Meaningful while joined, like `held`, `repair` and `keep`.
    member::own_row row;
    holder held;
    guardian_repair repair;
    keeping keep;
    guardian guarding;
    deposer deposing;
    watch_review watching;
    member::member_set members;
    /// Zero while nobody is known to be the planner.
    host_id planner;
    operation_counter operations;
};

/// A daemon that is about to join as `wish` says. Call it only after the peers
/// address is bound exclusively: the process then counts on being the only one
/// that receives what is sent to `wish.self.host`.
[[nodiscard]] participant
make_participant(member::member_record wish, const policy& limits = {});

/// Applies one event. `now` must be read from the boot-time clock after the
/// event was taken from its socket or queue: an earlier reading would shorten
/// a guardian's promise. Every call to the platform must get its result
/// sooner or later, `unknown` or unanswered at the latest.
[[nodiscard]] actions
step(participant& self, const event& what, instant now, random_source& random);

/// Until when this daemon may act as owner of its slices; in the past when it
/// may not. Check it immediately before each dispatch, and let no grant or
/// deadline outlive it.
[[nodiscard]] instant lease_valid_until(const participant& self);

/// Whether slices may be owned at all by `self_ref`; says nothing about time.
[[nodiscard]] bool may_own(const participant& self);

/// This daemon's present member; incarnation zero while it is none.
[[nodiscard]] member::member_ref self_ref(const participant& self);

} // namespace apricotstile::lease

#endif

// Moves start when the map plans them, or when a leaving daemon chooses targets
// itself because the planner is slow. Moves that are cancelled or take too long
// end here.

#include <apricotstile/assignment/internal/owner_moves.hpp>

#include <apricotstile/assignment/internal/owned_ranges.hpp>
#include <apricotstile/assignment/internal/release_settling.hpp>
#include <apricotstile/assignment/internal/release_target.hpp>
#include <apricotstile/assignment/owner_lookup.hpp>

namespace apricotstile::assignment::internal {

namespace {

void start_release(
    owner_state& owner,
    const range_id& range,
    const member::member_ref& to,
    fencing_token token,
    instant now,
    owner_actions& actions
) {
    ++owner.last_attempt;
    range_release release;
    release.to = to;
    release.token = token;
    release.attempt = owner.last_attempt;
    release.started_at = now;
    owner.releases.emplace(range, release);
    actions.emplace_back(stop_dispatching{range, release.attempt, to});
}

bool has_room(const owner_state& owner) {
    return owner.releases.size() < max_ranges_draining;
}

bool was_abandoned(
    const owner_state& owner,
    const range_id& range,
    const member::member_ref& to
) {
    const auto found = owner.refused.find(range);
    return found != owner.refused.end() && found->second == to;
}

void start_planned_moves(
    owner_state& owner,
    const assignment_map& map,
    instant now,
    owner_actions& actions
) {
    for (const auto& [range, to] : owner.planned_targets) {
        if (!has_room(owner)) {
            return;
        }
        const bool start = !owner.releases.contains(range) &&
                           !was_abandoned(owner, range, to) &&
                           is_served(owner, map, range);
        if (start) {
            const fencing_token token = find_range(map, range)->token;
            start_release(owner, range, to, token, now, actions);
        }
    }
}

/// Lets a leaving daemon choose targets itself while the planner is slow.
void start_unplanned_moves(
    owner_state& owner,
    const assignment_map& map,
    instant now,
    owner_actions& actions
) {
    const bool due = owner.leaving_since &&
                     now - *owner.leaving_since >= planner_target_timeout;
    if (!due || !has_room(owner)) {
        return;
    }
    for (const auto& one : owned_ranges(map, owner.self)) {
        if (!has_room(owner)) {
            return;
        }
        const bool start = !owner.releases.contains(one.range) &&
                           !owner.planned_targets.contains(one.range) &&
                           is_served(owner, map, one.range);
        const auto to = fallback_target(owner, one.range);
        if (start && to) {
            const fencing_token token = one.assignment.token;
            start_release(owner, one.range, *to, token, now, actions);
            owner.releases.at(one.range).target_chosen_here = true;
        }
    }
}

/// Abandons moves that take too long; a leaving daemon continues them.
void abandon_slow_moves(
    owner_state& owner, instant now, owner_actions& actions
) {
    if (owner.leaving_since) {
        return;
    }
    std::vector<range_id> slow;
    for (const auto& [range, release] : owner.releases) {
        const bool stoppable = release.phase != release_phase::releasing;
        if (stoppable && now - release.started_at >= range_drain_timeout) {
            slow.push_back(range);
        }
    }
    for (const range_id& range : slow) {
        owner.refused[range] = owner.releases.at(range).to;
        cancel_release(owner, range, actions);
    }
}

bool is_still_planned(
    const owner_state& owner,
    const range_id& range,
    const range_release& release
) {
    const auto planned = owner.planned_targets.find(range);
    return planned == owner.planned_targets.end()
               ? release.target_chosen_here
               : planned->second == release.to;
}

/// Cancels moves that are no longer planned or whose range this member doesn't
/// own any more.
void drop_obsolete_moves(
    owner_state& owner, const assignment_map& map, owner_actions& actions
) {
    std::vector<range_id> cancelled;
    for (const auto& [range, release] : owner.releases) {
        const bool undecided = release.phase != release_phase::releasing;
        const bool valid = is_still_planned(owner, range, release) &&
                           is_served(owner, map, range);
        if (undecided && !valid) {
            cancelled.push_back(range);
        }
    }
    for (const range_id& range : cancelled) {
        cancel_release(owner, range, actions);
    }
}

} // namespace

bool is_served(
    const owner_state& owner, const assignment_map& map, const range_id& range
) {
    const slice_assignment* found = find_range(map, range);
    if (found == nullptr || found->owner != owner.self) {
        return false;
    }
    const auto released = owner.ended.find(range);
    return released == owner.ended.end() || found->token > released->second;
}

void update_moves(
    owner_state& owner,
    const assignment_map& map,
    instant now,
    owner_actions& actions
) {
    drop_obsolete_moves(owner, map, actions);
    abandon_slow_moves(owner, now, actions);
    start_planned_moves(owner, map, now, actions);
    start_unplanned_moves(owner, map, now, actions);
}

} // namespace apricotstile::assignment::internal

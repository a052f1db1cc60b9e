// The checks of a dispatch decision: the map, then releases, then the lease.

#include <apricotstile/assignment/dispatch.hpp>

#include <apricotstile/assignment/owner.hpp>
#include <apricotstile/assignment/owner_lookup.hpp>

namespace apricotstile::assignment {

namespace {

bool is_released(const owner_state& owner, const range_owner& found) {
    const auto released = owner.ended.find(found.range);
    return released != owner.ended.end() &&
           found.assignment.token <= released->second;
}

/// Whether a leaving member must not dispatch any more. This doesn't depend on
/// the map, since a newer map may still assign ranges to a member that has
/// already reported that it released everything.
bool has_stopped_dispatching(const owner_state& owner, instant now) {
    const bool too_late =
        owner.leaving_since && now - *owner.leaving_since >= leave_grace_period;
    return owner.told_all_released || too_late;
}

/// Decides on a range that the map assigns to this member.
void decide_owned(
    dispatch_decision& decision,
    const dispatch_view& view,
    const range_owner& found,
    instant now
) {
    const auto release = view.owner.releases.find(found.range);
    if (release != view.owner.releases.end()) {
        decision.verdict = dispatch_verdict::drained;
        decision.member = release->second.to;
        return;
    }
    const bool released = is_released(view.owner, found);
    if (released || has_stopped_dispatching(view.owner, now)) {
        decision.verdict = dispatch_verdict::drained;
        decision.member = found.assignment.next_owner;
        return;
    }
    const bool leased = view.lease_until && now < *view.lease_until;
    decision.verdict =
        leased ? dispatch_verdict::serve : dispatch_verdict::hold;
}

} // namespace

dispatch_decision decide_dispatch(
    const dispatch_view& view,
    const service_id& service,
    std::string_view key,
    instant now
) {
    dispatch_decision decision;
    decision.map_version = view.map.version;
    const auto found = find_owner(view.map, service, key);
    if (!found) {
        return decision;
    }
    decision.range = found->range;
    decision.token = found->assignment.token;
    decision.member = found->assignment.owner;
    if (found->assignment.owner == view.owner.self) {
        decide_owned(decision, view, *found, now);
    } else if (found->assignment.next_owner == view.owner.self) {
        decision.verdict = dispatch_verdict::hold;
    }
    return decision;
}

} // namespace apricotstile::assignment

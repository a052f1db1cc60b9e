// The action with which a daemon's planner or owner passes a committed change
// to the daemon's own follower.

#ifndef APRICOTSTILE_ASSIGNMENT_SHARE_CHANGE_HPP
#define APRICOTSTILE_ASSIGNMENT_SHARE_CHANGE_HPP

#include <apricotstile/assignment/map_change.hpp>

namespace apricotstile::assignment {

/// A transaction of this daemon committed `change`. Pass it to the follower as
/// `change_committed`.
struct share_change {
    map_change change;
};

} // namespace apricotstile::assignment

#endif

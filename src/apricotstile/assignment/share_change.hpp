// How a daemon's planner or owner tells its own follower of a change.

#ifndef APRICOTSTILE_ASSIGNMENT_SHARE_CHANGE_HPP
#define APRICOTSTILE_ASSIGNMENT_SHARE_CHANGE_HPP

#include <apricotstile/assignment/map_change.hpp>

namespace apricotstile::assignment {

/// This daemon's transaction made `change`. Pass it to the follower as
/// `change_committed`.
struct share_change {
    map_change change;
};

} // namespace apricotstile::assignment

#endif

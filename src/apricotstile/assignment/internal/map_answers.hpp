// What a follower answers to a peer whose map is older.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_MAP_ANSWERS_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_MAP_ANSWERS_HPP

#include <apricotstile/assignment/map_follower.hpp>

namespace apricotstile::assignment::internal {

/// The changes after `have`, as many as fit one message. The history must
/// reach back that far.
[[nodiscard]] map_changes
changes_after(const map_follower& follower, map_version have);

/// The chunks that changed after `have`, in as many messages as it takes.
[[nodiscard]] std::vector<map_snapshot_part>
snapshot_after(const map_follower& follower, map_version have);

} // namespace apricotstile::assignment::internal

#endif

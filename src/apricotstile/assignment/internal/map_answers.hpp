// Builds a follower's answers to a peer whose map is older.

#ifndef APRICOTSTILE_ASSIGNMENT_INTERNAL_MAP_ANSWERS_HPP
#define APRICOTSTILE_ASSIGNMENT_INTERNAL_MAP_ANSWERS_HPP

#include <apricotstile/assignment/map_follower.hpp>

namespace apricotstile::assignment::internal {

/// The changes after version `base_version`, as many as fit into one message.
/// The history must reach back that far.
[[nodiscard]] map_changes
changes_after(const map_follower& follower, map_version base_version);

/// The chunks that changed after version `base_version`, split into messages.
[[nodiscard]] std::vector<map_snapshot_part>
snapshot_after(const map_follower& follower, map_version base_version);

} // namespace apricotstile::assignment::internal

#endif

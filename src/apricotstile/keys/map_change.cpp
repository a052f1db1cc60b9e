// The chain of changes.

#include <apricotstile/keys/map_change.hpp>

namespace apricotstile::keys {

change_result apply_change(versioned_map& known, const map_change& change) {
    if (change.to <= known.version) {
        return change_result::known;
    }
    if (change.from != known.version) {
        return change_result::gap;
    }
    apply_transfers(known.map, change.transfers);
    known.version = change.to;
    return change_result::applied;
}

} // namespace apricotstile::keys

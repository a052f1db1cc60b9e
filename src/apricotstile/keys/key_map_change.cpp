// Map changes are applied in the order of their versions.

#include <apricotstile/keys/key_map_change.hpp>

namespace apricotstile::keys {

namespace {

/// Maximum number of buffered changes; beyond it the map is read instead.
constexpr std::size_t max_buffered_changes = 64;

} // namespace

change_result apply_change(versioned_map& known, const key_map_change& change) {
    if (change.to_version <= known.version) {
        return change_result::already_applied;
    }
    if (change.from_version != known.version) {
        if (known.buffered.size() < max_buffered_changes) {
            known.buffered.emplace(change.from_version, change);
        }
        return change_result::gap;
    }
    apply_transfers(known.map, change.transfers);
    known.version = change.to_version;
    apply_buffered_changes(known);
    return change_result::applied;
}

void apply_buffered_changes(versioned_map& known) {
    while (!known.buffered.empty()) {
        const auto first = known.buffered.begin();
        if (first->first > known.version) {
            return;
        }
        if (first->first == known.version) {
            apply_transfers(known.map, first->second.transfers);
            known.version = first->second.to_version;
        }
        known.buffered.erase(first);
    }
}

} // namespace apricotstile::keys

// The outcome of a release whose answer was lost is determined from the rows
// alone.

#include <apricotstile/assignment/internal/release_settling.hpp>

namespace apricotstile::assignment::internal {

bool is_outcome_final(const owner_state& owner) {
    const release_transaction& sent = *owner.sent;
    // Every change writes the head row, so either the release took effect or
    // its condition can't hold any more.
    const bool head_moved =
        owner.reader.rows.head_row_version != sent.head_row_version;
    // A read that was requested after the longest delay of a write shows the
    // final state.
    const bool too_late =
        owner.read_requested_at - sent.submitted_at > max_store_write_delay;
    return head_moved || too_late;
}

bool is_reassigned(const owner_state& owner, const range_id& range) {
    const auto release = owner.releases.find(range);
    if (release == owner.releases.end()) {
        return false;
    }
    const map_rows& rows = owner.reader.rows;
    const auto* stored = find_range(rows, range);
    if (stored == nullptr) {
        // The key's exception was removed; the key belongs to its slice.
        stored = find_range(rows, {range.service, range.slice, {}});
        return stored == nullptr || stored->owner != owner.self;
    }
    return stored->owner != owner.self || stored->token > release->second.token;
}

void complete_release(owner_state& owner, const range_id& range) {
    const auto found = owner.releases.find(range);
    owner.ended[range] = found->second.token;
    owner.releases.erase(found);
    owner.planned_targets.erase(range);
}

void cancel_release(
    owner_state& owner, const range_id& range, owner_actions& actions
) {
    owner.releases.erase(range);
    actions.emplace_back(resume_dispatching{range});
}

} // namespace apricotstile::assignment::internal

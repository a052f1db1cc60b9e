// A lost answer is settled by the rows alone. A release is one transaction,
// so any of its ranges tells for all of them.

#include <apricotstile/assignment/internal/release_settling.hpp>

#include <algorithm>

namespace apricotstile::assignment::internal {

namespace {

bool has_moved_on(const owner_state& owner, const range_id& range) {
    const auto release = owner.releases.find(range);
    if (release == owner.releases.end()) {
        return false;
    }
    const auto* stored = find_range(owner.reader.rows, range);
    return stored == nullptr || stored->owner != owner.self ||
           stored->token > release->second.token;
}

} // namespace

release_outcome outcome_of(const owner_state& owner) {
    const release_transaction& sent = *owner.sent;
    const bool moved = std::any_of(
        sent.ranges.begin(),
        sent.ranges.end(),
        [&](const range_id& range) {
            return has_moved_on(owner, range);
        }
    );
    if (moved) {
        return release_outcome::took_effect;
    }
    // Its condition on the head row can't hold again.
    const bool overtaken = owner.reader.rows.head_row != sent.head_row;
    // A read that was asked for after the bound shows the final state.
    const bool too_late = owner.read_at - sent.submitted_at > store_write_bound;
    return overtaken || too_late ? release_outcome::without_effect
                                 : release_outcome::open;
}

void forget_release(owner_state& owner, const range_id& range) {
    const auto found = owner.releases.find(range);
    owner.ended[range] = found->second.token;
    owner.releases.erase(found);
    owner.planned.erase(range);
}

void resume(owner_state& owner, const range_id& range, owner_actions& actions) {
    owner.releases.erase(range);
    actions.emplace_back(resume_dispatching{range});
}

} // namespace apricotstile::assignment::internal

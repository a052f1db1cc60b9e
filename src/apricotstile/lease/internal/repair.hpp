// Repair of a member's guardian list: who is to be replaced, by whom, and
// whether the newcomers have promised yet.

#ifndef APRICOTSTILE_LEASE_INTERNAL_REPAIR_HPP
#define APRICOTSTILE_LEASE_INTERNAL_REPAIR_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/lease/internal/holder.hpp>
#include <apricotstile/member/member_set.hpp>
#include <apricotstile/member/own_row.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace apricotstile::lease {

/// A list that is wanted; its newcomers are asked for promises first. Empty
/// stands for renewal in the table.
struct guardian_trial {
    std::vector<member::member_ref> guardians;
    instant since;
};

struct guardian_repair {
    /// When each listed guardian last answered.
    std::map<member::member_ref, instant> last_answer;
    /// Incarnations that were reported gone by their hosts.
    std::set<member::member_ref> gone;
    /// Hosts that don't become guardians before this.
    std::map<host_id, instant> avoid_until;
    std::optional<guardian_trial> trial;
    /// When the replacement that is needed starts; empty while none is.
    std::optional<instant> start_at;
    instant next_review = instant::min();
    instant last_advance = instant::min();
};

/// What the decisions about a list rest on.
struct repair_view {
    const member::own_row& row;
    const member::member_set& members;
    const holder& promises;
    const policy& limits;
};

/// Starts, abandons or keeps the trial of a new list.
void advance(
    guardian_repair& state,
    const repair_view& view,
    instant now,
    random_source& random
);

/// The list to write now: the trial's, once its newcomers have promised.
[[nodiscard]] const guardian_trial*
ready_trial(const guardian_repair& state, const repair_view& view, instant now);

/// The guardians of the trial that aren't on the confirmed list.
[[nodiscard]] std::vector<member::member_ref>
newcomers(const guardian_repair& state, const member::member_record& record);

/// Starts anew with the confirmed list of `record`.
void take_confirmed(
    guardian_repair& state, const member::member_record& record, instant now
);

} // namespace apricotstile::lease

#endif

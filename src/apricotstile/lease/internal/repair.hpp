// Maintenance of a member's guardian list: which guardians to replace, by
// which members, and whether the new guardians have promised yet.

#ifndef APRICOTSTILE_LEASE_INTERNAL_REPAIR_HPP
#define APRICOTSTILE_LEASE_INTERNAL_REPAIR_HPP

#include <apricotstile/core/random.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/lease/internal/received_promises.hpp>
#include <apricotstile/member/member_set.hpp>
#include <apricotstile/member/own_row.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace apricotstile::lease {

/// A proposed guardian list. It is written only after its new guardians have
/// promised. An empty list means that the lease is renewed in the table.
struct guardian_proposal {
    std::vector<member::member_ref> guardians;
    instant since;
};

struct guardian_repair {
    /// When each listed guardian last answered.
    std::map<member::member_ref, instant> last_answer;
    /// Incarnations that, according to their hosts, no longer run.
    std::set<member::member_ref> ended_incarnations;
    /// Hosts that aren't chosen as guardians before the given time.
    std::map<host_id, instant> avoid_until;
    std::optional<guardian_proposal> proposal;
    /// When a needed replacement starts; empty if none is needed.
    std::optional<instant> replacement_start;
    instant next_review = instant::min();
    instant last_advance = instant::min();
};

/// Inputs of the decisions about a guardian list.
struct repair_inputs {
    const member::own_row& row;
    const member::member_set& members;
    const received_promises& promises;
    const policy& limits;
};

/// Proposes a new list if one is needed, or drops a proposal that failed.
void advance(
    guardian_repair& state,
    const repair_inputs& inputs,
    instant now,
    random_source& random
);

/// The proposed list once all its new guardians have promised; else null.
[[nodiscard]] const guardian_proposal* ready_proposal(
    const guardian_repair& state, const repair_inputs& inputs, instant now
);

/// The guardians of the proposed list that aren't on the confirmed list.
[[nodiscard]] std::vector<member::member_ref> new_guardians(
    const guardian_repair& state, const member::member_record& record
);

/// Resets the state to the confirmed list of `record`.
void reset_to_confirmed(
    guardian_repair& state, const member::member_record& record, instant now
);

} // namespace apricotstile::lease

#endif

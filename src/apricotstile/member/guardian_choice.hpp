// Selects the members that guard another member's lease: one in its own
// failure domain, one in another failure domain of its region and one in
// another region, as far as such members exist.

#ifndef APRICOTSTILE_MEMBER_GUARDIAN_CHOICE_HPP
#define APRICOTSTILE_MEMBER_GUARDIAN_CHOICE_HPP

#include <apricotstile/member/member_set.hpp>

#include <cstddef>
#include <set>
#include <vector>

namespace apricotstile::member {

/// A lease needs promises of two of this many guardians. With fewer candidates
/// the member renews its lease in the table.
constexpr std::size_t guardian_count = 3;

/// Whether the lease is granted by guardians; else it is renewed in the table.
[[nodiscard]] inline bool is_guarded(const member_record& record) {
    return record.guardians.size() == guardian_count;
}

struct guardian_criteria {
    host_id self;
    location where;
    /// Current guardians to keep.
    std::vector<member_ref> keep;
    /// Hosts that aren't chosen, such as those that haven't answered lately.
    std::set<host_id> avoid;
};

/// Returns three distinct active members other than `criteria.self`, or an
/// empty list if there are fewer. Rendezvous hashing distributes the load: on
/// average a member guards three others, whatever the number of members.
[[nodiscard]] std::vector<member_ref>
choose_guardians(const guardian_criteria& criteria, const member_set& members);

/// How many of the three localities have a guardian: own failure domain,
/// another domain of the region, another region.
[[nodiscard]] std::size_t count_covered_localities(
    const location& where,
    const std::vector<member_ref>& guardians,
    const member_set& members
);

} // namespace apricotstile::member

#endif

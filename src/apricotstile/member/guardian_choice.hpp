// Choice of the members that guard another member's lease: one in its own
// failure domain, one in a sibling domain of its region, one in another
// region, as far as such members exist.

#ifndef APRICOTSTILE_MEMBER_GUARDIAN_CHOICE_HPP
#define APRICOTSTILE_MEMBER_GUARDIAN_CHOICE_HPP

#include <apricotstile/member/member_set.hpp>

#include <cstddef>
#include <set>
#include <vector>

namespace apricotstile::member {

/// A lease rests on two of this many guardians; with fewer candidates the
/// member renews its lease in the table.
constexpr std::size_t guardian_count = 3;

/// Whether three guardians keep the lease; else it is renewed in the table.
[[nodiscard]] inline bool is_guarded(const member_record& record) {
    return record.guardians.size() == guardian_count;
}

struct guardian_wish {
    host_id self;
    location where;
    /// Present guardians that stay, each in the place that it fits.
    std::vector<member_ref> keep;
    /// Hosts that haven't answered lately.
    std::set<host_id> avoid;
};

/// Three distinct active members other than `wish.self`, or an empty list when
/// there are fewer. Spread by rendezvous hashing, so that a member guards
/// about three others whatever the number of members.
[[nodiscard]] std::vector<member_ref>
choose_guardians(const guardian_wish& wish, const member_set& members);

/// How many of the three places are filled as wished: own failure domain,
/// sibling domain, other region.
[[nodiscard]] std::size_t places_filled(
    const location& where,
    const std::vector<member_ref>& guardians,
    const member_set& members
);

} // namespace apricotstile::member

#endif

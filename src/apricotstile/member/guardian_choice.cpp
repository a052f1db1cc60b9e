// Selects guardians by locality, then by rendezvous hash within a locality.

#include <apricotstile/member/guardian_choice.hpp>

#include <apricotstile/core/hashing.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace apricotstile::member {

namespace {

enum class locality : std::uint8_t { own_domain, sibling_domain, other_region };

constexpr std::array all_localities{
    locality::own_domain, locality::sibling_domain, locality::other_region};

/// A locality counts as unreachable once this many of its hosts didn't answer.
constexpr std::size_t silent_hosts_of_unreachable_locality = 2;

locality locality_of(const location& from, const location& other) {
    if (from.region != other.region) {
        return locality::other_region;
    }
    return from.failure_domain == other.failure_domain
               ? locality::own_domain
               : locality::sibling_domain;
}

std::uint64_t rank(host_id self, host_id candidate) {
    std::array<std::uint64_t, 2> pair{self.value, candidate.value};
    return stable_hash(
        {reinterpret_cast<const char*>(pair.data()), sizeof(pair)}
    );
}

struct guardian_selection {
    const guardian_criteria& criteria;
    const member_set& members;
    std::vector<member_ref> chosen;
};

bool is_candidate(
    const guardian_selection& selection, const member_record& record
) {
    const host_id host = record.self.host;
    const bool taken = std::any_of(
        selection.chosen.begin(),
        selection.chosen.end(),
        [&](const member_ref& one) {
            return one.host == host;
        }
    );
    return !taken && host != selection.criteria.self &&
           record.state == member_state::active &&
           !selection.criteria.avoid.contains(host);
}

/// The candidate with the highest rank in `wanted`, or anywhere if empty.
std::optional<member_ref> best_candidate(
    const guardian_selection& selection, std::optional<locality> wanted
) {
    std::optional<member_ref> best;
    std::uint64_t best_rank = 0;
    for (const auto& [host, row] : selection.members.rows) {
        const member_record& record = row.record;
        if (!is_candidate(selection, record)) {
            continue;
        }
        if (wanted &&
            locality_of(selection.criteria.where, record.where) != *wanted) {
            continue;
        }
        const std::uint64_t own_rank = rank(selection.criteria.self, host);
        if (!best || own_rank > best_rank) {
            best = record.self;
            best_rank = own_rank;
        }
    }
    return best;
}

bool is_covered(const guardian_selection& selection, locality wanted) {
    return std::any_of(
        selection.chosen.begin(),
        selection.chosen.end(),
        [&](const member_ref& one) {
            const member_row* row = find(selection.members, one.host);
            return row != nullptr &&
                   locality_of(selection.criteria.where, row->record.where) ==
                       wanted;
        }
    );
}

bool is_unreachable(const guardian_selection& selection, locality wanted) {
    std::size_t silent = 0;
    for (const host_id host : selection.criteria.avoid) {
        const member_row* row = find(selection.members, host);
        if (row != nullptr &&
            locality_of(selection.criteria.where, row->record.where) ==
                wanted) {
            ++silent;
        }
    }
    return silent >= silent_hosts_of_unreachable_locality;
}

void choose_by_locality(guardian_selection& selection) {
    for (const locality wanted : all_localities) {
        if (selection.chosen.size() == guardian_count) {
            return;
        }
        if (is_covered(selection, wanted) ||
            is_unreachable(selection, wanted)) {
            continue;
        }
        if (const auto found = best_candidate(selection, wanted)) {
            selection.chosen.push_back(*found);
        }
    }
}

void choose_anywhere(guardian_selection& selection) {
    while (selection.chosen.size() < guardian_count) {
        const auto found = best_candidate(selection, std::nullopt);
        if (!found) {
            return;
        }
        selection.chosen.push_back(*found);
    }
}

} // namespace

std::vector<member_ref>
choose_guardians(const guardian_criteria& criteria, const member_set& members) {
    guardian_selection selection{criteria, members, criteria.keep};
    choose_by_locality(selection);
    choose_anywhere(selection);
    if (selection.chosen.size() < guardian_count) {
        return {};
    }
    return selection.chosen;
}

std::size_t count_covered_localities(
    const location& where,
    const std::vector<member_ref>& guardians,
    const member_set& members
) {
    const guardian_criteria criteria{{}, where, {}, {}};
    const guardian_selection selection{criteria, members, guardians};
    return static_cast<std::size_t>(std::count_if(
        all_localities.begin(),
        all_localities.end(),
        [&](locality wanted) {
            return is_covered(selection, wanted);
        }
    ));
}

} // namespace apricotstile::member

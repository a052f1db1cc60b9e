// Selects guardians by locality, then by rendezvous hash within a locality.

#include <apricotstile/member/guardian_choice.hpp>

#include <apricotstile/core/hashing.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace apricotstile::member {

namespace {

enum class place : std::uint8_t { own_domain, sibling_domain, other_region };

constexpr std::array all_places{
    place::own_domain, place::sibling_domain, place::other_region};

/// A locality is considered lost once this many of its hosts didn't answer.
constexpr std::size_t silent_hosts_of_lost_place = 2;

place place_of(const location& from, const location& other) {
    if (from.region != other.region) {
        return place::other_region;
    }
    return from.failure_domain == other.failure_domain ? place::own_domain
                                                       : place::sibling_domain;
}

std::uint64_t rank(host_id self, host_id candidate) {
    std::array<std::uint64_t, 2> pair{self.value, candidate.value};
    return stable_hash(
        {reinterpret_cast<const char*>(pair.data()), sizeof(pair)}
    );
}

struct choice {
    const guardian_wish& wish;
    const member_set& members;
    std::vector<member_ref> chosen;
};

bool is_candidate(const choice& made, const member_record& record) {
    const host_id host = record.self.host;
    const bool taken = std::any_of(
        made.chosen.begin(),
        made.chosen.end(),
        [&](const member_ref& one) {
            return one.host == host;
        }
    );
    return !taken && host != made.wish.self &&
           record.state == member_state::active &&
           !made.wish.avoid.contains(host);
}

/// The candidate with the highest rank in `wanted`, or anywhere if empty.
std::optional<member_ref>
best_candidate(const choice& made, std::optional<place> wanted) {
    std::optional<member_ref> best;
    std::uint64_t best_rank = 0;
    for (const auto& [host, row] : made.members.rows) {
        const member_record& record = row.record;
        if (!is_candidate(made, record)) {
            continue;
        }
        if (wanted && place_of(made.wish.where, record.where) != *wanted) {
            continue;
        }
        const std::uint64_t own_rank = rank(made.wish.self, host);
        if (!best || own_rank > best_rank) {
            best = record.self;
            best_rank = own_rank;
        }
    }
    return best;
}

bool is_filled(const choice& made, place wanted) {
    return std::any_of(
        made.chosen.begin(),
        made.chosen.end(),
        [&](const member_ref& one) {
            const member_row* row = find(made.members, one.host);
            return row != nullptr &&
                   place_of(made.wish.where, row->record.where) == wanted;
        }
    );
}

bool is_lost(const choice& made, place wanted) {
    std::size_t silent = 0;
    for (const host_id host : made.wish.avoid) {
        const member_row* row = find(made.members, host);
        if (row != nullptr &&
            place_of(made.wish.where, row->record.where) == wanted) {
            ++silent;
        }
    }
    return silent >= silent_hosts_of_lost_place;
}

void fill_places(choice& made) {
    for (const place wanted : all_places) {
        if (made.chosen.size() == guardian_count) {
            return;
        }
        if (is_filled(made, wanted) || is_lost(made, wanted)) {
            continue;
        }
        if (const auto found = best_candidate(made, wanted)) {
            made.chosen.push_back(*found);
        }
    }
}

void fill_anywhere(choice& made) {
    while (made.chosen.size() < guardian_count) {
        const auto found = best_candidate(made, std::nullopt);
        if (!found) {
            return;
        }
        made.chosen.push_back(*found);
    }
}

} // namespace

std::vector<member_ref>
choose_guardians(const guardian_wish& wish, const member_set& members) {
    choice made{wish, members, wish.keep};
    fill_places(made);
    fill_anywhere(made);
    if (made.chosen.size() < guardian_count) {
        return {};
    }
    return made.chosen;
}

std::size_t places_filled(
    const location& where,
    const std::vector<member_ref>& guardians,
    const member_set& members
) {
    const guardian_wish wish{{}, where, {}, {}};
    const choice made{wish, members, guardians};
    return static_cast<std::size_t>(std::count_if(
        all_places.begin(),
        all_places.end(),
        [&](place wanted) {
            return is_filled(made, wanted);
        }
    ));
}

} // namespace apricotstile::member

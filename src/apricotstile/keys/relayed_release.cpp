// What may be relayed, and what a member accepts.

#include <apricotstile/keys/relayed_release.hpp>

#include <apricotstile/keys/key_owner.hpp>

#include <algorithm>

namespace apricotstile::keys {

std::optional<relayed_release>
take_relayable_release(key_owner& state, const platform::transaction& work) {
    // The lease row and the map.
    constexpr std::size_t rows_of_release = 2;
    if (!state.in_flight || !state.owns_row || !state.in_flight->renews_lease ||
        state.in_flight->makes_claims || state.in_flight->transfers.empty() ||
        work.conditions.size() != rows_of_release ||
        work.mutations.size() != rows_of_release) {
        return std::nullopt;
    }
    const std::vector<transfer>& transfers = state.in_flight->transfers;
    const bool only_releases = std::all_of(
        transfers.begin(),
        transfers.end(),
        [&](const transfer& one) {
            const owned_range* const owned =
                find_owned_range(state.map, one.keys.first);
            return one.owner != state.self && owned != nullptr &&
                   owned->owner == state.self;
        }
    );
    if (!only_releases) {
        return std::nullopt;
    }
    state.in_flight->new_map.reset();
    return relayed_release{
        state.self,
        0,
        work.conditions.front().version,
        work.mutations.front().value.value_or(std::string{}),
        transfers};
}

bool is_valid(const relayed_release& release, const key_map& map) {
    return std::all_of(
        release.transfers.begin(),
        release.transfers.end(),
        [&](const transfer& one) {
            std::uint64_t owned = 0;
            for (const owned_range& range : map.ranges) {
                if (range.owner == release.owner &&
                    overlap(range.keys, one.keys)) {
                    owned += std::min(range.keys.last, one.keys.last) -
                             std::max(range.keys.first, one.keys.first) + 1;
                }
            }
            return owned == size_of(one.keys);
        }
    );
}

} // namespace apricotstile::keys

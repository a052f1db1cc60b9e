// Lookup in a key map and changes to it.

#include <apricotstile/keys/key_map.hpp>

#include <algorithm>

namespace apricotstile::keys {

namespace {

/// Removes `keys` from all ranges. The remaining parts keep their token but
/// lose their handover, which describes a whole range.
void remove_keys(key_map& map, const key_range& keys) {
    std::vector<owned_range> kept;
    kept.reserve(map.ranges.size() + 1);
    for (const owned_range& one : map.ranges) {
        if (!overlap(one.keys, keys)) {
            kept.push_back(one);
            continue;
        }
        if (one.keys.first < keys.first) {
            owned_range left = one;
            left.keys.last = keys.first - 1;
            left.handover.clear();
            kept.push_back(std::move(left));
        }
        if (one.keys.last > keys.last) {
            owned_range right = one;
            right.keys.first = keys.last + 1;
            right.handover.clear();
            kept.push_back(std::move(right));
        }
    }
    map.ranges = std::move(kept);
}

void insert_range(key_map& map, const owned_range& added) {
    const auto place = std::find_if(
        map.ranges.begin(),
        map.ranges.end(),
        [&](const owned_range& other) {
            return other.keys.first > added.keys.first;
        }
    );
    map.ranges.insert(place, added);
}

void merge_adjacent_ranges(key_map& map) {
    std::vector<owned_range> merged;
    for (owned_range& one : map.ranges) {
        const bool continues = !merged.empty() &&
                               merged.back().keys.last + 1 == one.keys.first &&
                               merged.back().owner == one.owner &&
                               merged.back().instance == one.instance;
        if (!continues) {
            merged.push_back(std::move(one));
            continue;
        }
        merged.back().keys.last = one.keys.last;
        merged.back().fence = std::max(merged.back().fence, one.fence);
        merged.back().handover.clear();
    }
    map.ranges = std::move(merged);
}

} // namespace

const owned_range* find_owned_range(const key_map& map, key_number key) {
    const auto after = std::upper_bound(
        map.ranges.begin(),
        map.ranges.end(),
        key,
        [](key_number wanted, const owned_range& one) {
            return wanted < one.keys.first;
        }
    );
    if (after == map.ranges.begin()) {
        return nullptr;
    }
    const owned_range& candidate = *std::prev(after);
    return contains(candidate.keys, key) ? &candidate : nullptr;
}

void apply_transfers(key_map& map, const std::vector<transfer>& transfers) {
    for (const transfer& one : transfers) {
        remove_keys(map, one.keys);
        map.last_fence = next(map.last_fence);
        insert_range(
            map,
            {one.keys, one.owner, one.instance, map.last_fence, one.handover}
        );
    }
    if (map.ranges.size() > max_separate_ranges) {
        merge_adjacent_ranges(map);
    }
}

bool may_split_ranges(const key_map& map) {
    return map.ranges.size() <= max_ranges_to_split;
}

void raise_last_fence(key_map& map, platform::table_era era) {
    // Leaves 13 bits for the era in an integer that JSON readers keep exact.
    constexpr unsigned bits_within_era = 40;
    const fencing_token base{
        (era.value - platform::first_era.value) << bits_within_era};
    map.last_fence = std::max(map.last_fence, base);
}

std::vector<key_range> unowned_ranges(const key_map& map) {
    std::vector<key_range> result;
    key_number next_key = 0;
    for (const owned_range& one : map.ranges) {
        if (one.keys.first > next_key) {
            result.push_back({next_key, one.keys.first - 1});
        }
        next_key = one.keys.last + 1;
    }
    if (next_key < key_count) {
        result.push_back({next_key, key_count - 1});
    }
    return result;
}

void add_unowned_parts(key_map& map, const owned_range& added) {
    for (const key_range& unowned : unowned_ranges(map)) {
        if (!overlap(unowned, added.keys)) {
            continue;
        }
        owned_range part = added;
        part.keys = {
            std::max(unowned.first, added.keys.first),
            std::min(unowned.last, added.keys.last)};
        insert_range(map, part);
    }
}

std::vector<key_range> even_split(std::size_t count) {
    std::vector<key_range> result;
    for (std::size_t index = 0; index < count; ++index) {
        const auto first = static_cast<key_number>(key_count * index / count);
        const auto end =
            static_cast<key_number>(key_count * (index + 1) / count);
        if (end > first) {
            result.push_back({first, end - 1});
        }
    }
    return result;
}

std::set<host_id> owners_of(const key_map& map) {
    std::set<host_id> result;
    for (const owned_range& one : map.ranges) {
        result.insert(one.owner);
    }
    return result;
}

std::uint64_t owned_key_count(const key_map& map, host_id host) {
    std::uint64_t total = 0;
    for (const owned_range& one : map.ranges) {
        total += one.owner == host ? size_of(one.keys) : 0;
    }
    return total;
}

} // namespace apricotstile::keys

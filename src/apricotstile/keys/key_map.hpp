// The key map of a service: ranges of key numbers, each with the owning host,
// its instance and a fencing token.

#ifndef APRICOTSTILE_KEYS_KEY_MAP_HPP
#define APRICOTSTILE_KEYS_KEY_MAP_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/directory/entry.hpp>
#include <apricotstile/platform/transaction.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotstile::keys {

/// The number of a key, as callers send it; less than `key_count`.
using key_number = std::uint32_t;

inline constexpr key_number key_count = 65536;

/// The keys from `first` to `last`, both included.
struct key_range {
    key_number first{0};
    key_number last{0};

    friend bool operator==(const key_range&, const key_range&) = default;
};

[[nodiscard]] inline key_number size_of(const key_range& range) {
    return range.last - range.first + 1;
}

[[nodiscard]] inline bool overlap(const key_range& a, const key_range& b) {
    return a.first <= b.last && b.first <= a.last;
}

[[nodiscard]] inline bool contains(const key_range& range, key_number key) {
    return range.first <= key && key <= range.last;
}

struct owned_range {
    key_range keys;
    host_id owner;
    directory::instance_run instance;
    fencing_token fence;
    /// Opaque state from the previous holder; empty if it gave none.
    std::string handover;

    friend bool operator==(const owned_range&, const owned_range&) = default;
};

struct key_map {
    /// The highest fencing token issued so far.
    fencing_token last_fence;
    /// Sorted by key, without overlap.
    std::vector<owned_range> ranges;
};

template <class Archive>
void serialize(Archive& archive, key_range& value) {
    archive(value.first, value.last);
}

template <class Archive>
void serialize(Archive& archive, owned_range& value) {
    archive(
        value.keys, value.owner, value.instance, value.fence, value.handover
    );
}

template <class Archive>
void serialize(Archive& archive, key_map& value) {
    archive(value.last_fence, value.ranges);
}

/// The range that contains `key`, or null if nobody owns the key.
[[nodiscard]] const owned_range*
find_owned_range(const key_map& map, key_number key);

/// Assigns a range to its next owner.
struct transfer {
    key_range keys;
    host_id owner;
    directory::instance_run instance;
    std::string handover;
};

/// Above this number of ranges, adjacent ones of the same instance are merged,
/// so that the map fits into one row of the table.
inline constexpr std::size_t max_separate_ranges = 600;

/// Above this number no range is split to move a part of it for its load.
inline constexpr std::size_t max_ranges_to_split = 650;

/// Assigns ranges to their next owners, each under a new fencing token. Trims
/// or removes existing ranges that overlap them. Merged ranges get the highest
/// of their tokens, and no handover.
void apply_transfers(key_map& map, const std::vector<transfer>& transfers);

/// Whether a part of a range may be moved without making the map too large for
/// a row of the table.
[[nodiscard]] bool may_split_ranges(const key_map& map);

/// Makes all tokens that are issued in this era higher than those of earlier
/// ones, some of which may have been forgotten.
void raise_last_fence(key_map& map, platform::table_era era);

/// The keys that nobody owns.
[[nodiscard]] std::vector<key_range> unowned_ranges(const key_map& map);

/// Adds those parts of `added` that nobody owns, under its own token.
void add_unowned_parts(key_map& map, const owned_range& added);

/// Splits all keys into `count` ranges of nearly equal size.
[[nodiscard]] std::vector<key_range> even_split(std::size_t count);

[[nodiscard]] std::set<host_id> owners_of(const key_map& map);

/// The number of keys that `host` owns.
[[nodiscard]] std::uint64_t owned_key_count(const key_map& map, host_id host);

} // namespace apricotstile::keys

#endif

// Tracks the hottest keys of an owner in bounded memory with the Space-Saving
// algorithm of Metwally, Agrawal and El Abbadi. A key without an entry replaces
// the key with the lowest count and inherits that count as its maximum error.

#ifndef APRICOTSTILE_ASSIGNMENT_KEY_SKETCH_HPP
#define APRICOTSTILE_ASSIGNMENT_KEY_SKETCH_HPP

#include <apricotstile/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotstile::assignment {

/// Default number of entries. A key with more than one in this many requests
/// is guaranteed to have an entry.
constexpr std::size_t sketch_capacity = 256;

struct counted_key {
    service_id service;
    std::string key;
    /// At least the number of the key's requests, and at most `error` more.
    std::uint64_t count{0};
    std::uint64_t error{0};
};

struct key_sketch {
    std::size_t capacity{sketch_capacity};
    using entry_key = std::pair<service_id, std::string>;
    /// At most `capacity` entries.
    std::map<entry_key, counted_key> counts;
    /// The keys of `counts`, ordered by count.
    std::set<std::pair<std::uint64_t, entry_key>> by_count;
};

/// Counts one request for `key`.
void count_key(
    key_sketch& sketch, const service_id& service, std::string_view key
);

/// Returns at most `max_keys` keys, hottest first.
[[nodiscard]] std::vector<counted_key>
hottest_keys(const key_sketch& sketch, std::size_t max_keys);

/// Removes all counts; called at the start of each report interval.
void clear_sketch(key_sketch& sketch);

} // namespace apricotstile::assignment

#endif

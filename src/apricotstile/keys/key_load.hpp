// Recent load by key, and the choice of a key range to move so that a given
// load moves with it. Keeps track of each key by itself, since hot keys may be
// close to one another.

#ifndef APRICOTSTILE_KEYS_KEY_LOAD_HPP
#define APRICOTSTILE_KEYS_KEY_LOAD_HPP

#include <apricotstile/keys/key_map.hpp>

#include <optional>
#include <vector>

namespace apricotstile::keys {

struct key_load {
    /// Expected seconds of work by key, with exponential decay. Empty before
    /// the first request.
    std::vector<float> work_by_key;
};

/// Interval between two calls of `decay_load`.
inline constexpr duration decay_interval = std::chrono::milliseconds{500};

/// Adds a request for `key` that is expected to take `work`.
void add_key_work(key_load& load, key_number key, duration work);

/// Reduces the weight of past requests. Must be called every `decay_interval`.
void decay_load(key_load& load);

/// Converts `load`, in seconds as summed right after `decay_load`, to the mean
/// number of slots that it keeps busy.
[[nodiscard]] double busy_slots(double load);

/// The load of the keys in `keys`, in seconds.
[[nodiscard]] double range_load(const key_load& load, const key_range& keys);

/// The smallest range of adjacent keys within one of `ranges` whose load is at
/// least `min_load` and at most `max_load`, both in seconds. Nothing if there
/// is none.
[[nodiscard]] std::optional<key_range> keys_with_load(
    const key_load& load,
    const std::vector<key_range>& ranges,
    double min_load,
    double max_load
);

} // namespace apricotstile::keys

#endif

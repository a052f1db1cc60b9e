// How much work each key brought lately, and which keys to move so that a
// given load moves with them. Answers hot keys that lie close to one another.

#ifndef APRICOTSTILE_KEYS_KEY_LOAD_HPP
#define APRICOTSTILE_KEYS_KEY_LOAD_HPP

#include <apricotstile/keys/key_map.hpp>

#include <optional>
#include <vector>

namespace apricotstile::keys {

struct key_load {
    /// Expected seconds of work by key, decaying; empty before the first.
    std::vector<float> by_key;
};

/// Between two calls of `decay`.
inline constexpr duration decay_interval = std::chrono::milliseconds{500};

void count_key(key_load& load, key_number key, duration work);

/// Lets the past weigh less. Call it at `decay_interval`.
void decay(key_load& load);

/// The slots that a load right after `decay` keeps busy.
[[nodiscard]] double slots_for(double load);

[[nodiscard]] double load_of(const key_load& load, const key_range& keys);

/// The fewest neighbouring keys within one of `ranges` that carry `wanted` of
/// the load, or nothing where none do, or where they would carry more than
/// `most`.
[[nodiscard]] std::optional<key_range> keys_with_load(
    const key_load& load,
    const std::vector<key_range>& ranges,
    double wanted,
    double most
);

} // namespace apricotstile::keys

#endif

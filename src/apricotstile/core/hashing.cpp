// Hashing by xxHash64.

#include <apricotstile/core/hashing.hpp>

#include <xxhash.h>

namespace apricotstile {

std::uint64_t stable_hash(std::string_view bytes) {
    return XXH64(bytes.data(), bytes.size(), 0);
}

std::uint64_t combined_hash(std::initializer_list<std::string_view> texts) {
    constexpr std::uint64_t odd_multiplier = 0x9E3779B97F4A7C15ULL;
    std::uint64_t hash = 0;
    for (const std::string_view text : texts) {
        hash = (hash ^ stable_hash(text)) * odd_multiplier;
    }
    return hash;
}

std::uint32_t name_hash(std::string_view name) {
    return static_cast<std::uint32_t>(stable_hash(name));
}

slice_id slice_of(std::string_view key, std::uint32_t slice_count) {
    return slice_id{static_cast<std::uint32_t>(stable_hash(key) % slice_count)};
}

} // namespace apricotstile

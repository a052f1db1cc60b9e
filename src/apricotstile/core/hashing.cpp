// Hashing by xxHash64.

#include <apricotstile/core/hashing.hpp>

#include <xxhash.h>

namespace apricotstile {

std::uint64_t stable_hash(std::string_view bytes) {
    return XXH64(bytes.data(), bytes.size(), 0);
}

slice_id slice_of(std::string_view key, std::uint32_t slice_count) {
    return slice_id{static_cast<std::uint32_t>(stable_hash(key) % slice_count)};
}

} // namespace apricotstile

// Hashing of keys to slices; the same on every host and every release.

#ifndef APRICOTSTILE_CORE_HASHING_HPP
#define APRICOTSTILE_CORE_HASHING_HPP

#include <apricotstile/core/ids.hpp>

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace apricotstile {

/// xxHash64 of `bytes` with seed zero.
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes);

/// A hash of several texts in their order.
[[nodiscard]] std::uint64_t
combined_hash(std::initializer_list<std::string_view> texts);

/// Hash of the name of a service or route, by which daemons refer to it.
[[nodiscard]] std::uint32_t name_hash(std::string_view name);

/// The slice of `key` among `slice_count` slices (not zero).
[[nodiscard]] slice_id
slice_of(std::string_view key, std::uint32_t slice_count);

} // namespace apricotstile

#endif

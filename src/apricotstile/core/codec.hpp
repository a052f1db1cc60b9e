// Encoding of plain structs to bytes and back, by cereal's portable binary
// archive. A struct takes part by a free function template `serialize`.

#ifndef APRICOTSTILE_CORE_CODEC_HPP
#define APRICOTSTILE_CORE_CODEC_HPP

#include <apricotstile/core/bounded_archive.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstdint>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>

namespace apricotstile {

static_assert(std::endian::native == std::endian::little);

/// Thrown by `decode` for bytes that don't hold exactly one `Value`.
struct decode_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The bytes of `value`.
template <class Value>
[[nodiscard]] std::string encode(const Value& value) {
    std::ostringstream stream{std::ios::binary};
    {
        cereal::PortableBinaryOutputArchive archive{stream};
        archive(value);
    }
    return std::move(stream).str();
}

/// The value in `bytes`. Throws `decode_error` for truncated, malformed or
/// trailing bytes, without allocating more than a multiple of their number.
template <class Value>
[[nodiscard]] Value decode(std::string_view bytes) {
    Value value{};
    try {
        bounded_input_archive archive{bytes};
        // The first byte of the portable archive tells the order of the bytes
        // in numbers. All daemons write the same.
        std::uint8_t is_little_endian = 0;
        archive(is_little_endian);
        if (is_little_endian != 1) {
            throw decode_error{"the bytes are in another order"};
        }
        archive(value);
        if (archive.bytes_left() != 0) {
            throw decode_error{"bytes are left over after the value"};
        }
    } catch (const decode_error&) {
        throw;
    } catch (const std::exception& error) {
        throw decode_error{error.what()};
    }
    return value;
}

} // namespace apricotstile

#endif

// Encoding of plain structs to bytes and back, by cereal's portable binary
// archive. A struct takes part by a free function template `serialize`.

#ifndef APRICOTSTILE_CORE_CODEC_HPP
#define APRICOTSTILE_CORE_CODEC_HPP

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

#include <sstream>
#include <stdexcept>
#include <string>

namespace apricotstile {

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
/// trailing bytes. Authenticate the bytes first: a forged length can make
/// this allocate.
template <class Value>
[[nodiscard]] Value decode(const std::string& bytes) {
    std::istringstream stream{bytes, std::ios::binary};
    Value value{};
    try {
        cereal::PortableBinaryInputArchive archive{stream};
        archive(value);
    } catch (const std::exception& error) {
        throw decode_error{error.what()};
    }
    if (stream.peek() != std::istringstream::traits_type::eof()) {
        throw decode_error{"bytes are left over after the value"};
    }
    return value;
}

} // namespace apricotstile

#endif

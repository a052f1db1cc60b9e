// Compact serialization of frames, as the traffic on links is charged by
// volume: cereal's binary archive, with lengths and most numbers encoded as
// variable-length integers.

#ifndef APRICOTSTILE_PEER_COMPACT_CODEC_HPP
#define APRICOTSTILE_PEER_COMPACT_CODEC_HPP

#include <apricotstile/core/codec.hpp>

// Without this macro, cereal leaves its archive adapters out.
#define CEREAL_FUTURE_EXPERIMENTAL
#include <cereal/archives/adapters.hpp>
#include <cereal/archives/binary.hpp>

#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

namespace apricotstile::peer {

/// Maximum bytes of a frame or of a string in it, and maximum items of a list.
inline constexpr std::uint64_t max_frame_length = 64U << 20U;

/// An unsigned variable-length integer (LEB128): 7 bits in each byte, the least
/// significant ones first; the high bit is set if another byte follows.
struct varint {
    std::uint64_t value{0};

    template <class Archive>
    void save(Archive& archive) const {
        std::uint64_t remaining = this->value;
        while (remaining >= continuation_bit) {
            archive(static_cast<std::uint8_t>(
                (remaining & (continuation_bit - 1)) | continuation_bit
            ));
            remaining >>= group_bits;
        }
        archive(static_cast<std::uint8_t>(remaining));
    }

    template <class Archive>
    void load(Archive& archive) {
        this->value = 0;
        std::uint8_t group = 0;
        unsigned shift = 0;
        do {
            archive(group);
            this->value |=
                static_cast<std::uint64_t>(group & (continuation_bit - 1))
                << shift;
            shift += group_bits;
        } while ((group & continuation_bit) != 0 && shift < max_shift);
    }

private:
    static constexpr unsigned group_bits = 7;
    static constexpr std::uint64_t continuation_bit = 128;
    static constexpr unsigned max_shift = 64;
};

/// Serializes any unsigned number as a `varint`.
template <class Archive, class Number>
void serialize_varint(Archive& archive, Number& number) {
    varint encoded{static_cast<std::uint64_t>(number)};
    archive(encoded);
    number = static_cast<Number>(encoded.value);
}

/// When reading: each byte or item must be in the bytes that are left.
template <class Archive>
void check_length(const Archive& archive, std::uint64_t length) {
    if constexpr (Archive::is_loading::value) {
        if (length > archive.bytes_left()) {
            throw decode_error{"a length exceeds the bytes that are left"};
        }
    }
}

template <class Archive>
void serialize_string(Archive& archive, std::string& text) {
    varint length{text.size()};
    archive(length);
    check_length(archive, length.value);
    text.resize(length.value);
    archive(cereal::binary_data(text.data(), text.size()));
}

template <class Archive, class Item, class SerializeItem>
void serialize_list(
    Archive& archive, std::vector<Item>& items, SerializeItem serialize_item
) {
    varint count{items.size()};
    archive(count);
    check_length(archive, count.value);
    items.resize(count.value);
    for (Item& item : items) {
        serialize_item(archive, item);
    }
}

/// Encodes `value`. `context` is passed to the `serialize` functions, which get
/// it by `cereal::get_user_data`.
template <class Value, class Context>
[[nodiscard]] std::string encode_compact(Value value, Context& context) {
    std::ostringstream stream{std::ios::binary};
    {
        cereal::UserDataAdapter<Context, cereal::BinaryOutputArchive> archive{
            context, stream};
        archive(value);
    }
    return std::move(stream).str();
}

/// Decodes a `Value`; `context` as in `encode_compact`. Throws `decode_error`
/// if the bytes are malformed.
template <class Value, class Context>
[[nodiscard]] Value decode_compact(const std::string& bytes, Context& context) {
    Value value{};
    try {
        cereal::UserDataAdapter<Context, bounded_input_archive> archive{
            context, bytes};
        archive(value);
    } catch (const std::exception& error) {
        throw decode_error{error.what()};
    }
    return value;
}

} // namespace apricotstile::peer

#endif

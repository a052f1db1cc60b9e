// Compresses configurations with zlib, as Qt offers it.

#include <apricotstile/peer/packed_config.hpp>

#include <apricotstile/core/codec.hpp>
#include <apricotstile/peer/compact_codec.hpp>

#include <QByteArray>

#include <cstdint>

namespace apricotstile::peer {

namespace {

/// Higher levels take several times as long for a few percent.
constexpr int compression_level = 2;

constexpr std::size_t length_bytes = 4;

constexpr unsigned byte_bits = 8;

/// The length of the uncompressed bytes, which comes first, in big-endian
/// order. Zero if it is missing.
std::uint64_t stated_length(const std::string& bytes) {
    std::uint64_t result = 0;
    if (bytes.size() < length_bytes) {
        return result;
    }
    for (std::size_t index = 0; index < length_bytes; ++index) {
        result =
            (result << byte_bits) | static_cast<unsigned char>(bytes[index]);
    }
    return result;
}

} // namespace

packed_config pack_config(const routing::routing_config& config) {
    int no_context = 0;
    const std::string plain = encode_compact(config, no_context);
    const QByteArray compressed = qCompress(
        reinterpret_cast<const uchar*>(plain.data()),
        static_cast<qsizetype>(plain.size()),
        compression_level
    );
    return {config.version, compressed.toStdString()};
}

routing::routing_config unpack_config(const packed_config& packed) {
    const std::uint64_t length = stated_length(packed.bytes);
    // Qt allocates the stated length before it reads the rest.
    if (length == 0 || length > max_frame_length) {
        throw decode_error{"packed configuration has no valid length"};
    }
    const QByteArray plain = qUncompress(QByteArray::fromRawData(
        packed.bytes.data(), static_cast<qsizetype>(packed.bytes.size())
    ));
    if (static_cast<std::uint64_t>(plain.size()) != length) {
        throw decode_error{"packed configuration can't be uncompressed"};
    }
    int no_context = 0;
    return decode_compact<routing::routing_config>(
        plain.toStdString(), no_context
    );
}

} // namespace apricotstile::peer

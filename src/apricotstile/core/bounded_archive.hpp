// Reads what cereal's binary archives write, without trusting it: a length that
// exceeds the bytes that are left is an error before anything is allocated for
// it. cereal's own archives allocate first, so that a few forged bytes take all
// of a host's memory.

#ifndef APRICOTSTILE_CORE_BOUNDED_ARCHIVE_HPP
#define APRICOTSTILE_CORE_BOUNDED_ARCHIVE_HPP

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>
#include <type_traits>

namespace apricotstile {

/// Throws `cereal::Exception` at the end of the bytes. Numbers are in the byte
/// order of this host.
class bounded_input_archive
    : public cereal::
          InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
public:
    /// `bytes` must outlive the archive.
    explicit bounded_input_archive(std::string_view bytes)
        : InputArchive(this), unread(bytes) {}

    void load_bytes(void* to, std::size_t count) {
        if (count > this->unread.size()) {
            throw cereal::Exception{"the bytes end within a value"};
        }
        std::memcpy(to, this->unread.data(), count);
        this->unread.remove_prefix(count);
    }

    [[nodiscard]] std::size_t bytes_left() const {
        return this->unread.size();
    }

private:
    std::string_view unread;
};

// The names of the following functions are those that cereal looks for.

template <class Number>
std::enable_if_t<std::is_arithmetic_v<Number>>
CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, Number& value) {
    archive.load_bytes(std::addressof(value), sizeof value);
}

template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(
    bounded_input_archive& archive, cereal::NameValuePair<Value>& named
) {
    archive(named.value);
}

/// Each item of a list takes a byte or more.
template <class Size>
void CEREAL_SERIALIZE_FUNCTION_NAME(
    bounded_input_archive& archive, cereal::SizeTag<Size>& length
) {
    archive(length.size);
    if (length.size > archive.bytes_left()) {
        throw cereal::Exception{"a length exceeds the bytes that are left"};
    }
}

template <class Item>
void CEREAL_LOAD_FUNCTION_NAME(
    bounded_input_archive& archive, cereal::BinaryData<Item>& data
) {
    archive.load_bytes(data.data, static_cast<std::size_t>(data.size));
}

} // namespace apricotstile

/// cereal's checks of types look for the archive that writes what this reads.
template <>
struct cereal::traits::detail::get_output_from_input<
    apricotstile::bounded_input_archive> {
    using type = cereal::PortableBinaryOutputArchive;
};

#endif

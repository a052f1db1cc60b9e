// Reading and printing of addresses.

#include <apricotstile/host/address.hpp>

#include <fmt/format.h>

#include <charconv>

namespace apricotstile {

namespace {

constexpr unsigned port_bits = 16;
constexpr std::uint32_t max_octet = 255;
constexpr std::uint32_t max_port = 65535;

/// Reads a decimal number up to `limit` and the separator after it.
std::optional<std::uint32_t>
take_number(std::string_view& text, std::uint32_t limit, char separator) {
    std::uint32_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || number > limit) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(stop - text.data()));
    if (separator == '\0') {
        return text.empty() ? std::optional{number} : std::nullopt;
    }
    if (text.empty() || text.front() != separator) {
        return std::nullopt;
    }
    text.remove_prefix(1);
    return number;
}

} // namespace

std::optional<address> parse_address(std::string_view text) {
    address result;
    for (const char separator : {'.', '.', '.', ':'}) {
        const auto octet = take_number(text, max_octet, separator);
        if (!octet) {
            return std::nullopt;
        }
        result.ip = (result.ip << 8U) | *octet;
    }
    const auto port = take_number(text, max_port, '\0');
    if (!port || *port == 0) {
        return std::nullopt;
    }
    result.port = static_cast<std::uint16_t>(*port);
    return result;
}

std::string to_string(const address& value) {
    return fmt::format(
        "{}.{}.{}.{}:{}",
        value.ip >> 24U,
        (value.ip >> 16U) & max_octet,
        (value.ip >> 8U) & max_octet,
        value.ip & max_octet,
        value.port
    );
}

host_id host_at(const address& value) {
    return host_id{
        (static_cast<std::uint64_t>(value.ip) << port_bits) | value.port};
}

address peer_address(host_id host) {
    return {
        static_cast<std::uint32_t>(host.value >> port_bits),
        static_cast<std::uint16_t>(host.value)};
}

} // namespace apricotstile

// A numeric IPv4 address with a port.

#ifndef APRICOTSTILE_HOST_ADDRESS_HPP
#define APRICOTSTILE_HOST_ADDRESS_HPP

#include <apricotstile/core/ids.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace apricotstile {

struct address {
    std::uint32_t ip{0};
    std::uint16_t port{0};

    friend auto operator<=>(const address&, const address&) = default;
    friend bool operator==(const address&, const address&) = default;
};

/// Reads "a.b.c.d:port"; empty when `text` is anything else.
[[nodiscard]] std::optional<address> parse_address(std::string_view text);

/// The form that `parse_address` reads.
[[nodiscard]] std::string to_string(const address& value);

/// The host whose peer address is `value`.
[[nodiscard]] host_id host_at(const address& value);

/// The peer address of `host`.
[[nodiscard]] address peer_address(host_id host);

} // namespace apricotstile

#endif

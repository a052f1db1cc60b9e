// The keyed message authentication code on everything between daemons.

#ifndef APRICOTSTILE_LINK_AUTHENTICATION_HPP
#define APRICOTSTILE_LINK_AUTHENTICATION_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace apricotstile::link {

/// Bytes of HMAC-SHA-256 that are sent.
constexpr std::size_t code_bytes = 16;

/// The code of `context` followed by `payload` under `key`.
[[nodiscard]] std::string authentication_code(
    std::string_view key, std::string_view context, std::string_view payload
);

/// Compares in a time that doesn't depend on the contents.
[[nodiscard]] bool same_code(std::string_view left, std::string_view right);

/// A datagram that carries `payload`: the code, then the payload.
[[nodiscard]] std::string
seal_datagram(std::string_view key, std::string_view payload);

/// The payload of a datagram, or nothing when its code is wrong.
[[nodiscard]] std::optional<std::string>
open_datagram(std::string_view key, std::string_view datagram);

} // namespace apricotstile::link

#endif

// "ADDRESS:PORT" as the flags give it.

#ifndef APRICOTSTILE_STANDINS_SUPPORT_ADDRESS_HPP
#define APRICOTSTILE_STANDINS_SUPPORT_ADDRESS_HPP

#include <cstdint>
#include <string>

namespace apricotstile::standins {

struct socket_address {
    std::string host;
    std::uint16_t port{0};
};

/// Throws std::invalid_argument unless `text` is ADDRESS:PORT.
[[nodiscard]] socket_address parse_address(const std::string& text);

} // namespace apricotstile::standins

#endif

// Splits an address at its last colon.

#include <standins/support/address.hpp>

#include <charconv>
#include <stdexcept>

namespace apricotstile::standins {

socket_address parse_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    socket_address parsed;
    bool good = colon != std::string::npos && colon > 0;
    if (good) {
        parsed.host = text.substr(0, colon);
        const char* const first = text.data() + colon + 1;
        const char* const last = text.data() + text.size();
        const auto result = std::from_chars(first, last, parsed.port);
        good = result.ec == std::errc{} && result.ptr == last;
    }
    if (!good) {
        throw std::invalid_argument("not ADDRESS:PORT: '" + text + "'");
    }
    return parsed;
}

} // namespace apricotstile::standins

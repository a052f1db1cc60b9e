// One service of an upstream stand-in as it is announced.

#ifndef APRICOTSTILE_STANDINS_UPSTREAM_SERVED_SERVICE_HPP
#define APRICOTSTILE_STANDINS_UPSTREAM_SERVED_SERVICE_HPP

#include <apricotstile/core/ids.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace apricotstile::standins {

struct served_service {
    service_id name;
    /// Number of slices; zero when the service is not divided by key.
    std::uint32_t slices{0};
    std::uint32_t slots{16};
    std::uint32_t connections{120};
    /// Work that waits for a slot; more is shed. Not announced.
    std::uint32_t queue{64};
};

/// "NAME" or "NAME:SLICES"; throws std::invalid_argument.
[[nodiscard]] served_service parse_service(const std::string& text);

/// The body of POST /announce.
[[nodiscard]] std::string announcement(
    const std::string& address,
    bool leaving,
    const std::vector<served_service>& services
);

} // namespace apricotstile::standins

#endif

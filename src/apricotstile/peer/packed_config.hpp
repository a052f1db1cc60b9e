// A configuration as daemons pass it on to each other: encoded and compressed.
// A configuration with many routes fills a slow link for a noticeable time, and
// requests wait behind it.

#ifndef APRICOTSTILE_PEER_PACKED_CONFIG_HPP
#define APRICOTSTILE_PEER_PACKED_CONFIG_HPP

#include <apricotstile/routing/routing_config.hpp>

#include <string>

namespace apricotstile::peer {

struct packed_config {
    routing::config_version version;
    /// Written and read by `pack_config` and `unpack_config`.
    std::string bytes;
};

[[nodiscard]] packed_config pack_config(const routing::routing_config& config);

/// Throws `decode_error` if the bytes are malformed.
[[nodiscard]] routing::routing_config unpack_config(const packed_config& packed
);

} // namespace apricotstile::peer

#endif

// Identifies a request by its content, so that retries are recognised whoever
// sends them.

#ifndef APRICOTSTILE_UPSTREAM_FINGERPRINT_HPP
#define APRICOTSTILE_UPSTREAM_FINGERPRINT_HPP

#include <apricotstile/core/strong_id.hpp>

#include <cstdint>

namespace apricotstile::request {

struct routed_request;

} // namespace apricotstile::request

namespace apricotstile::upstream {

/// Hash of service, customer, method, key, target and body.
using fingerprint = strong_id<struct fingerprint_tag, std::uint64_t>;

[[nodiscard]] fingerprint fingerprint_of(const request::routed_request& request
);

} // namespace apricotstile::upstream

#endif

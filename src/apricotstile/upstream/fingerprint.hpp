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

using fingerprint = strong_id<struct fingerprint_tag, std::uint64_t>;

/// Whether a request crashes an upstream may depend on its sender, which the
/// upstream is told, or not. So it is known under two fingerprints.
struct request_identity {
    /// Hash of the content and the sender.
    fingerprint from_sender;
    /// Hash of the content, whoever sends it.
    fingerprint content;

    friend bool
    operator==(const request_identity&, const request_identity&) = default;
};

/// The content is service, method, key, target and body; the sender is the
/// customer.
[[nodiscard]] request_identity
identity_of(const request::routed_request& request);

} // namespace apricotstile::upstream

#endif

// Computes fingerprints with xxHash64.

#include <apricotstile/upstream/fingerprint.hpp>

#include <apricotstile/core/hashing.hpp>
#include <apricotstile/request/owner_memory.hpp>
#include <apricotstile/request/routed_request.hpp>

namespace apricotstile::upstream {

request_identity identity_of(const request::routed_request& request) {
    constexpr std::uint64_t odd_multiplier = 0x9E3779B97F4A7C15ULL;
    const std::uint64_t content =
        (request::content_hash(request) ^ stable_hash(request.service.value)) *
        odd_multiplier;
    const std::uint64_t from_sender =
        (content ^ stable_hash(request.customer.value)) * odd_multiplier;
    return {{from_sender}, {content}};
}

} // namespace apricotstile::upstream

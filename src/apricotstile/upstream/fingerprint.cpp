// Computes fingerprints with xxHash64.

#include <apricotstile/upstream/fingerprint.hpp>

#include <apricotstile/core/hashing.hpp>
#include <apricotstile/request/owner_memory.hpp>
#include <apricotstile/request/routed_request.hpp>

namespace apricotstile::upstream {

fingerprint fingerprint_of(const request::routed_request& request) {
    constexpr std::uint64_t odd_multiplier = 0x9E3779B97F4A7C15ULL;
    std::uint64_t hash = request::content_hash(request);
    hash = (hash ^ stable_hash(request.service.value)) * odd_multiplier;
    hash = (hash ^ stable_hash(request.customer.value)) * odd_multiplier;
    return {hash};
}

} // namespace apricotstile::upstream

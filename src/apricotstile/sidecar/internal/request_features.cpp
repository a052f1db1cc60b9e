// Attributes of a request as hashes and small numbers.

#include <apricotstile/sidecar/internal/request_features.hpp>

#include <apricotstile/core/hashing.hpp>

#include <bit>
#include <string_view>

namespace apricotstile::sidecar::internal {

namespace {

/// Segments of a path that make its prefix; those after them are often ids.
constexpr int prefix_segments = 2;
/// Keys in a range; 64 ranges.
constexpr std::uint64_t keys_per_range = keys::key_count / 64;

std::string_view path_prefix(std::string_view target) {
    const std::string_view path = target.substr(0, target.find('?'));
    std::size_t end = 0;
    for (int i = 0; i < prefix_segments && end != path.npos; ++i) {
        end = path.find('/', end + 1);
    }
    return path.substr(0, end);
}

} // namespace

serving::work_features work_features_of(
    const peer::routed_request& request, const service_id& caller_service
) {
    const std::uint64_t key_range =
        request.key ? 1 + *request.key / keys_per_range : 0;
    return {
        combined_hash({request.method, path_prefix(request.target)}),
        key_range,
        static_cast<std::uint64_t>(std::bit_width(request.body.size())),
        stable_hash(caller_service.value)};
}

} // namespace apricotstile::sidecar::internal

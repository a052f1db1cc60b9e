// Key to slice to owner.

#include <apricotstile/daemon/internal/owner_lookup.hpp>

#include <apricotstile/core/hashing.hpp>

namespace apricotstile::daemon::internal {

owner_result find_owner(
    const routing_view& view, const service_id& service, const std::string& key
) {
    owner_result result;
    if (view.map == nullptr) {
        result.refusal = request::refusal::no_owner;
        return result;
    }
    const auto found = view.map->services.find(service);
    if (found == view.map->services.end() || found->second.slices.empty()) {
        result.refusal = request::refusal::unknown_service;
        return result;
    }
    const auto& slices = found->second.slices;
    result.slice = slice_of(key, static_cast<std::uint32_t>(slices.size()));
    result.assignment = slices[result.slice.value];
    result.host = result.assignment.owner.host;
    if (result.host == host_id{}) {
        result.refusal = request::refusal::no_owner;
    }
    return result;
}

} // namespace apricotstile::daemon::internal

// Exceptions are found by binary search, slices by index.

#include <apricotstile/assignment/owner_lookup.hpp>

#include <apricotstile/core/hashing.hpp>

#include <algorithm>

namespace apricotstile::assignment {

const key_exception*
find_exception(const service_assignment& service, std::string_view key) {
    const auto found = std::lower_bound(
        service.exceptions.begin(),
        service.exceptions.end(),
        key,
        [](const key_exception& one, std::string_view wanted) {
            return one.key < wanted;
        }
    );
    if (found == service.exceptions.end() || found->key != key) {
        return nullptr;
    }
    return &*found;
}

std::optional<range_owner> find_owner(
    const assignment_map& map, const service_id& service, std::string_view key
) {
    const auto found = map.services.find(service);
    if (found == map.services.end() || found->second.slices.empty()) {
        return std::nullopt;
    }
    const auto& slices = found->second.slices;
    const auto count = static_cast<std::uint32_t>(slices.size());
    const slice_id slice = slice_of(key, count);
    if (const auto* exception = find_exception(found->second, key)) {
        return range_owner{
            {service, slice, exception->key}, exception->assignment};
    }
    return range_owner{{service, slice, {}}, slices[slice.value]};
}

const slice_assignment*
find_range(const assignment_map& map, const range_id& range) {
    const auto found = map.services.find(range.service);
    if (found == map.services.end()) {
        return nullptr;
    }
    if (!range.key.empty()) {
        const auto* exception = find_exception(found->second, range.key);
        return exception == nullptr ? nullptr : &exception->assignment;
    }
    if (range.slice.value >= found->second.slices.size()) {
        return nullptr;
    }
    return &found->second.slices[range.slice.value];
}

} // namespace apricotstile::assignment

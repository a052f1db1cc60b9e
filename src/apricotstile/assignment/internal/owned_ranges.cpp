// Scans the slices and exceptions of a map and the entries of a change.

#include <apricotstile/assignment/internal/owned_ranges.hpp>

#include <apricotstile/core/hashing.hpp>

namespace apricotstile::assignment::internal {

std::vector<range_owner>
owned_ranges(const assignment_map& map, const member::member_ref& self) {
    std::vector<range_owner> owned;
    for (const auto& [service, assigned] : map.services) {
        const auto count = static_cast<std::uint32_t>(assigned.slices.size());
        for (std::uint32_t i = 0; i < count; ++i) {
            if (assigned.slices[i].owner == self) {
                owned.push_back({{service, slice_id{i}, {}}, assigned.slices[i]}
                );
            }
        }
        for (const key_exception& one : assigned.exceptions) {
            if (one.assignment.owner == self) {
                owned.push_back(
                    {{service, slice_of(one.key, count), one.key},
                     one.assignment}
                );
            }
        }
    }
    return owned;
}

std::vector<range_id> ranges_of(const map_change& change) {
    std::vector<range_id> ranges;
    for (const service_change& service : change.services) {
        for (const slice_change& one : service.slices) {
            ranges.push_back({service.service, one.slice, {}});
        }
        for (const key_change& one : service.keys) {
            const slice_id slice = slice_of(one.key, service.slice_count);
            ranges.push_back({service.service, slice, one.key});
        }
    }
    return ranges;
}

} // namespace apricotstile::assignment::internal

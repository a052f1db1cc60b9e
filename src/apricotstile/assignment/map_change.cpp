// Applies and builds changes of the assignment map.

#include <apricotstile/assignment/map_change.hpp>

#include <algorithm>
#include <stdexcept>

namespace apricotstile::assignment {

namespace {

void apply_key(service_assignment& service, const key_change& change) {
    auto& exceptions = service.exceptions;
    const auto found = std::lower_bound(
        exceptions.begin(),
        exceptions.end(),
        change.key,
        [](const key_exception& one, const std::string& key) {
            return one.key < key;
        }
    );
    const bool present = found != exceptions.end() && found->key == change.key;
    if (present && change.assignment) {
        found->assignment = *change.assignment;
    } else if (present) {
        exceptions.erase(found);
    } else if (change.assignment) {
        exceptions.insert(found, {change.key, *change.assignment});
    }
}

void apply_service(assignment_map& map, const service_change& change) {
    service_assignment& service = map.services[change.service];
    if (service.slices.size() < change.slice_count) {
        service.slices.resize(change.slice_count);
    }
    for (const slice_change& one : change.slices) {
        service.slices.at(one.slice.value) = one.assignment;
    }
    for (const key_change& one : change.keys) {
        apply_key(service, one);
    }
}

} // namespace

void apply_change(assignment_map& map, const map_change& change) {
    if (change.version != next(map.version)) {
        throw std::logic_error{
            "the map change's version isn't the one after the map's"};
    }
    for (const service_change& one : change.services) {
        apply_service(map, one);
    }
    map.version = change.version;
}

service_change& change_of(
    map_change& change, const service_id& service, std::uint32_t slice_count
) {
    for (service_change& one : change.services) {
        if (one.service == service) {
            return one;
        }
    }
    change.services.push_back({service, slice_count, {}, {}});
    return change.services.back();
}

void set_assignment(
    map_change& change,
    const range_id& range,
    std::uint32_t slice_count,
    const slice_assignment& assignment
) {
    service_change& service = change_of(change, range.service, slice_count);
    if (range.key.empty()) {
        service.slices.push_back({range.slice, assignment});
        return;
    }
    service.keys.push_back({range.key, assignment});
}

std::size_t entry_count(const map_change& change) {
    std::size_t size = 0;
    for (const service_change& one : change.services) {
        size += one.slices.size() + one.keys.size();
    }
    return size;
}

} // namespace apricotstile::assignment

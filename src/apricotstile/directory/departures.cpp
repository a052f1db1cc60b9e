// Merges departures, and looks up whether an instance has departed.

#include <apricotstile/directory/departures.hpp>

#include <algorithm>

namespace apricotstile::directory {

namespace {

auto find_instance(departures& known, const std::string& instance_id) {
    return std::find_if(known.begin(), known.end(), [&](const departure& one) {
        return one.instance_id == instance_id;
    });
}

void drop_earliest(departures& known) {
    known.erase(std::min_element(
        known.begin(),
        known.end(),
        [](const departure& left, const departure& right) {
            return left.latest_start_ms < right.latest_start_ms;
        }
    ));
}

} // namespace

bool add_departure(departures& known, const departure& added) {
    const departures before = known;
    const auto found = find_instance(known, added.instance_id);
    if (found == known.end()) {
        known.push_back(added);
    } else {
        found->latest_start_ms =
            std::max(found->latest_start_ms, added.latest_start_ms);
    }
    if (known.size() > max_departures) {
        drop_earliest(known);
    }
    return known != before;
}

bool add_departures(departures& known, const departures& added) {
    bool changed = false;
    for (const departure& one : added) {
        changed = add_departure(known, one) || changed;
    }
    return changed;
}

bool has_departed(const departures& known, const instance_run& instance) {
    return std::any_of(known.begin(), known.end(), [&](const departure& one) {
        return one.instance_id == instance.id &&
               instance.started_ms <= one.latest_start_ms;
    });
}

} // namespace apricotstile::directory

// Merges entries into the directory, and looks up ready instances.

#include <apricotstile/directory/directory.hpp>

#include <tuple>

namespace apricotstile::directory {

std::string_view name_of(instance_state state) {
    switch (state) {
    case instance_state::absent:
        return "absent";
    case instance_state::ready:
        return "ready";
    case instance_state::draining:
        return "draining";
    }
    return "unknown";
}

bool is_newer(const member_entry& left, const member_entry& right) {
    return std::tie(left.run, left.revision) >
           std::tie(right.run, right.revision);
}

bool merge_entry(directory& known, const member_entry& update) {
    const auto found = known.entries.find(update.host);
    if (found == known.entries.end()) {
        known.entries.emplace(update.host, update);
        return true;
    }
    departures all = found->second.known_departures;
    const bool adds_departures = add_departures(all, update.known_departures);
    if (!is_newer(update, found->second)) {
        found->second.known_departures = std::move(all);
        return adds_departures;
    }
    found->second = update;
    found->second.known_departures = std::move(all);
    return true;
}

std::vector<const member_entry*>
ready_instances(const directory& known, const service_id& service) {
    std::vector<const member_entry*> result;
    for (const auto& [host, one] : known.entries) {
        if (one.service == service && one.state == instance_state::ready &&
            !has_departed(one.known_departures, one.instance)) {
            result.push_back(&one);
        }
    }
    return result;
}

} // namespace apricotstile::directory

// Computes and applies differences of sorted maps, entry by entry.

#include <apricotstile/plan/difference.hpp>

namespace apricotstile::plan {

namespace {

template <class Key, class Value>
using change_map = std::map<Key, std::optional<Value>>;

template <class Key, class Value>
change_map<Key, Value> changes_between(
    const std::map<Key, Value>& from, const std::map<Key, Value>& to
) {
    change_map<Key, Value> result;
    auto old_entry = from.begin();
    auto new_entry = to.begin();
    while (old_entry != from.end() || new_entry != to.end()) {
        const bool removed =
            new_entry == to.end() ||
            (old_entry != from.end() && old_entry->first < new_entry->first);
        if (removed) {
            result.emplace_hint(result.end(), old_entry->first, std::nullopt);
            ++old_entry;
            continue;
        }
        const bool kept =
            old_entry != from.end() && old_entry->first == new_entry->first;
        if (!kept || old_entry->second != new_entry->second) {
            result.emplace_hint(
                result.end(), new_entry->first, new_entry->second
            );
        }
        if (kept) {
            ++old_entry;
        }
        ++new_entry;
    }
    return result;
}

template <class Key, class Value>
void apply_changes(
    std::map<Key, Value>& map, const change_map<Key, Value>& changed
) {
    for (const auto& [key, value] : changed) {
        if (value) {
            map.insert_or_assign(key, *value);
        } else {
            map.erase(key);
        }
    }
}

template <class Key, class Value>
void overlay(
    change_map<Key, Value>& first, const change_map<Key, Value>& second
) {
    for (const auto& [key, value] : second) {
        first.insert_or_assign(key, value);
    }
}

} // namespace

plan_difference
difference_between(const plan_lists& from, const plan_lists& to) {
    return {
        changes_between(from.customers, to.customers),
        changes_between(from.plans.plans, to.plans.plans),
        changes_between(from.plans.capacities, to.plans.capacities)};
}

plan_lists patch(plan_lists lists, const plan_difference& difference) {
    apply_changes(lists.customers, difference.customers);
    apply_changes(lists.plans.plans, difference.plans);
    apply_changes(lists.plans.capacities, difference.capacities);
    return lists;
}

plan_difference compose(plan_difference first, const plan_difference& second) {
    overlay(first.customers, second.customers);
    overlay(first.plans, second.plans);
    overlay(first.capacities, second.capacities);
    return first;
}

bool is_empty(const plan_difference& difference) {
    return change_count(difference) == 0;
}

std::size_t change_count(const plan_difference& difference) {
    return difference.customers.size() + difference.plans.size() +
           difference.capacities.size();
}

} // namespace apricotstile::plan

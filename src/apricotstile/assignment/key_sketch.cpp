// The Space-Saving algorithm: a new key replaces the one with the lowest count.

#include <apricotstile/assignment/key_sketch.hpp>

namespace apricotstile::assignment {

void count_key(
    key_sketch& sketch, const service_id& service, std::string_view key
) {
    const key_sketch::entry_key id{service, std::string{key}};
    auto found = sketch.counts.find(id);
    if (found == sketch.counts.end()) {
        std::uint64_t inherited_count = 0;
        if (sketch.counts.size() >= sketch.capacity) {
            const auto least_counted = sketch.by_count.begin();
            inherited_count = least_counted->first;
            sketch.counts.erase(least_counted->second);
            sketch.by_count.erase(least_counted);
        }
        const counted_key new_entry{
            service, id.second, inherited_count, inherited_count};
        found = sketch.counts.emplace(id, new_entry).first;
    } else {
        sketch.by_count.erase({found->second.count, id});
    }
    ++found->second.count;
    sketch.by_count.emplace(found->second.count, id);
}

std::vector<counted_key>
hottest_keys(const key_sketch& sketch, std::size_t max_keys) {
    std::vector<counted_key> hottest;
    auto one = sketch.by_count.rbegin();
    for (; one != sketch.by_count.rend() && hottest.size() < max_keys; ++one) {
        hottest.push_back(sketch.counts.at(one->second));
    }
    return hottest;
}

void clear_sketch(key_sketch& sketch) {
    sketch.counts.clear();
    sketch.by_count.clear();
}

} // namespace apricotstile::assignment

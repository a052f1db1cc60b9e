// Counting with replacement of the least counted key.

#include <apricotstile/assignment/key_sketch.hpp>

namespace apricotstile::assignment {

void count_key(
    key_sketch& sketch, const service_id& service, std::string_view key
) {
    const key_sketch::name name{service, std::string{key}};
    auto found = sketch.counts.find(name);
    if (found == sketch.counts.end()) {
        std::uint64_t floor = 0;
        if (sketch.counts.size() >= sketch.capacity) {
            const auto least = sketch.by_count.begin();
            floor = least->first;
            sketch.counts.erase(least->second);
            sketch.by_count.erase(least);
        }
        const counted_key fresh{service, name.second, floor, floor};
        found = sketch.counts.emplace(name, fresh).first;
    } else {
        sketch.by_count.erase({found->second.count, name});
    }
    ++found->second.count;
    sketch.by_count.emplace(found->second.count, name);
}

std::vector<counted_key>
hottest_keys(const key_sketch& sketch, std::size_t most) {
    std::vector<counted_key> hottest;
    auto one = sketch.by_count.rbegin();
    for (; one != sketch.by_count.rend() && hottest.size() < most; ++one) {
        hottest.push_back(sketch.counts.at(one->second));
    }
    return hottest;
}

void clear_sketch(key_sketch& sketch) {
    sketch.counts.clear();
    sketch.by_count.clear();
}

} // namespace apricotstile::assignment

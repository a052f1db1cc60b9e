// Load by key, and a sliding window over adjacent keys.

#include <apricotstile/keys/key_load.hpp>

#include <numeric>

namespace apricotstile::keys {

namespace {

/// Halves the weight of past requests every second, at `decay_interval`.
constexpr float decay_factor = 0.7071F;

} // namespace

void add_key_work(key_load& load, key_number key, duration work) {
    if (load.work_by_key.empty()) {
        load.work_by_key.resize(key_count);
    }
    load.work_by_key[key] += std::chrono::duration<float>(work).count();
}

void decay_load(key_load& load) {
    for (float& count : load.work_by_key) {
        count *= decay_factor;
    }
}

double busy_slots(double load) {
    // A constant load converges to the sum of a geometric series: this many
    // seconds of it.
    const double seconds =
        std::chrono::duration<double>(decay_interval).count() * decay_factor /
        (1 - decay_factor);
    return load / seconds;
}

double range_load(const key_load& load, const key_range& keys) {
    if (load.work_by_key.empty()) {
        return 0;
    }
    const auto begin = load.work_by_key.begin();
    return std::accumulate(begin + keys.first, begin + keys.last + 1, 0.0);
}

std::optional<key_range> keys_with_load(
    const key_load& load,
    const std::vector<key_range>& ranges,
    double min_load,
    double max_load
) {
    if (load.work_by_key.empty()) {
        return std::nullopt;
    }
    std::optional<key_range> best;
    for (const key_range& range : ranges) {
        double sum = 0;
        key_number first = range.first;
        for (key_number last = range.first; last <= range.last; ++last) {
            sum += load.work_by_key[last];
            while (first < last && sum - load.work_by_key[first] >= min_load) {
                sum -= load.work_by_key[first];
                ++first;
            }
            const key_range window{first, last};
            if (sum >= min_load && sum <= max_load &&
                (!best || size_of(window) < size_of(*best))) {
                best = window;
            }
        }
    }
    return best;
}

} // namespace apricotstile::keys

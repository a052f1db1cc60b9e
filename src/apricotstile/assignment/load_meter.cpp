// Conversion of request counts to rates per second.

#include <apricotstile/assignment/load_meter.hpp>

#include <apricotstile/assignment/internal/owned_ranges.hpp>

#include <algorithm>

namespace apricotstile::assignment {

namespace {

service_load& load_of_service(load_report& report, const service_id& service) {
    for (service_load& one : report.services) {
        if (one.service == service) {
            return one;
        }
    }
    report.services.push_back({service, {}, {}});
    return report.services.back();
}

bool has_key(const service_load& load, const std::string& key) {
    return std::any_of(
        load.keys.begin(),
        load.keys.end(),
        [&](const key_load& one) {
            return one.key == key;
        }
    );
}

} // namespace

void count_request(
    load_meter& meter, const range_id& range, std::string_view key
) {
    ++meter.request_counts[range];
    count_key(meter.keys, range.service, key);
}

bool is_report_due(const load_meter& meter, instant now) {
    return now - meter.interval_start >= report_interval;
}

load_report
take_load_report(load_meter& meter, const assignment_map& map, instant now) {
    load_report report;
    report.from = meter.self;
    const double seconds = std::max(
        std::chrono::duration<double>(now - meter.interval_start).count(), 0.001
    );
    const auto rate = [&](std::uint64_t count) {
        return static_cast<float>(static_cast<double>(count) / seconds);
    };
    for (const auto& one : internal::owned_ranges(map, meter.self)) {
        const auto found = meter.request_counts.find(one.range);
        const auto count =
            found == meter.request_counts.end() ? 0 : found->second;
        service_load& load = load_of_service(report, one.range.service);
        if (one.range.key.empty()) {
            load.slices.push_back({one.range.slice, rate(count)});
        } else {
            load.keys.push_back({one.range.key, rate(count)});
        }
    }
    for (const auto& one : hottest_keys(meter.keys, reported_hot_keys)) {
        service_load& load = load_of_service(report, one.service);
        if (!has_key(load, one.key)) {
            load.keys.push_back({one.key, rate(one.count)});
        }
    }
    meter.request_counts.clear();
    clear_sketch(meter.keys);
    meter.interval_start = now;
    return report;
}

} // namespace apricotstile::assignment

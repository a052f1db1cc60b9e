// Counts an owner's requests and creates its load reports.

#ifndef APRICOTSTILE_ASSIGNMENT_LOAD_METER_HPP
#define APRICOTSTILE_ASSIGNMENT_LOAD_METER_HPP

#include <apricotstile/assignment/assignment_map.hpp>
#include <apricotstile/assignment/key_sketch.hpp>
#include <apricotstile/assignment/load_report.hpp>
#include <apricotstile/core/time.hpp>

#include <map>

namespace apricotstile::assignment {

constexpr duration report_interval = std::chrono::seconds{5};
/// Maximum number of keys in a report besides the key exceptions.
constexpr std::size_t reported_hot_keys = 11;

struct load_meter {
    member::member_ref self;
    /// Start of the interval that the next report covers.
    instant interval_start;
    std::map<range_id, std::uint64_t> request_counts;
    key_sketch keys;
};

/// Counts a request for `key` that was dispatched as part of `range`.
void count_request(
    load_meter& meter, const range_id& range, std::string_view key
);

[[nodiscard]] bool is_report_due(const load_meter& meter, instant now);

/// Returns the report on the time since the previous one and resets the counts.
/// Lists every slice that `map` assigns to the member, idle ones with zero.
[[nodiscard]] load_report
take_load_report(load_meter& meter, const assignment_map& map, instant now);

} // namespace apricotstile::assignment

#endif

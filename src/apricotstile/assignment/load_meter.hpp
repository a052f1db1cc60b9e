// Counting of an owner's requests and making of its load reports.

#ifndef APRICOTSTILE_ASSIGNMENT_LOAD_METER_HPP
#define APRICOTSTILE_ASSIGNMENT_LOAD_METER_HPP

#include <apricotstile/assignment/assignment_map.hpp>
#include <apricotstile/assignment/key_sketch.hpp>
#include <apricotstile/assignment/load_report.hpp>
#include <apricotstile/core/time.hpp>

#include <map>

namespace apricotstile::assignment {

constexpr duration report_interval = std::chrono::seconds{5};
constexpr std::size_t reported_hot_keys = 11;

struct load_meter {
    member::member_ref self;
    instant interval_start;
    std::map<range_id, std::uint64_t> request_counts;
    key_sketch keys;
};

/// Counts a request for `key` that was dispatched as one of `range`.
void count_request(
    load_meter& meter, const range_id& range, std::string_view key
);

/// Whether a report is due.
[[nodiscard]] bool is_report_due(const load_meter& meter, instant now);

/// The report on the time since the last one; the counts start again. Lists
/// every slice that `map` gives to the member, idle ones with zero.
[[nodiscard]] load_report
take_load_report(load_meter& meter, const assignment_map& map, instant now);

} // namespace apricotstile::assignment

#endif

// Quarantine of requests that crash every upstream that runs them. A request
// that was in flight at several crashes is run alone: if it completes, its
// counts are reset; if the upstream crashes again, the request is refused.

#ifndef APRICOTSTILE_UPSTREAM_QUARANTINE_HPP
#define APRICOTSTILE_UPSTREAM_QUARANTINE_HPP

#include <apricotstile/upstream/crash_record.hpp>
#include <apricotstile/upstream/quarantine_policy.hpp>

#include <string_view>
#include <unordered_map>
#include <vector>

namespace apricotstile::upstream {

struct quarantine {
    quarantine_policy policy;
    member::member_ref self;
    std::unordered_map<fingerprint, crash_record> crash_records;
    /// Totals since the daemon started.
    std::uint64_t crashes{0};
    std::uint64_t refused{0};
};

enum class quarantine_action : std::uint8_t {
    run,
    /// Offer it to admission with `alone` set.
    run_alone,
    /// Answer `not_run` with `quarantined`.
    refuse
};

struct quarantine_decision {
    upstream::quarantine_action action{quarantine_action::run};
    /// With `refuse`: time until the quarantine expires.
    duration retry_after{0};
};

/// A request that was in flight when the upstream crashed.
struct in_flight_request {
    request_identity id;
    request_label label;
    /// Whether it was running at the moment of the crash. False for one that
    /// was given up before, which the upstream may have dropped by then.
    bool running{true};
};

/// Decides whether and how request `id` may run.
[[nodiscard]] quarantine_decision
decide(quarantine& state, const request_identity& id, instant now);

/// Records a crash of the upstream while `in_flight` were running. Returns the
/// reports for the other daemons.
[[nodiscard]] std::vector<crash_report> upstream_crashed(
    quarantine& state,
    const std::vector<in_flight_request>& in_flight,
    instant now
);

/// Records that the upstream answered request `id` and resets its crash counts.
/// Returns the reports for the other daemons; empty if there were no counts.
[[nodiscard]] std::vector<crash_report>
completed(quarantine& state, const request_identity& id, instant now);

/// Merges a report from another daemon; idempotent and independent of order.
void merge(quarantine& state, const crash_report& report, instant now);

/// Returns reports of all unexpired entries, for daemons that join and to make
/// up for lost reports. A joining daemon merges a peer's reports before it
/// serves requests.
[[nodiscard]] std::vector<crash_report>
report_all(const quarantine& state, instant now);

/// Returns those of `reports` whose requests no longer run like any other.
[[nodiscard]] std::vector<crash_report> suspects_in(
    const quarantine& state,
    const std::vector<crash_report>& reports,
    instant now
);

/// Releases the listed entry `id` from quarantine on behalf of an operator,
/// with the entries of the same content. Returns the reports for the other
/// daemons.
[[nodiscard]] std::vector<crash_report>
clear(quarantine& state, fingerprint id, instant now);

/// Frees expired entries. Call about once a minute; `decide` ignores expired
/// entries in any case.
void forget_expired(quarantine& state, instant now);

/// One entry of the list shown to operators.
struct quarantine_entry {
    fingerprint id;
    request_label label;
    upstream::quarantine_action action{quarantine_action::run};
    std::uint32_t crashes{0};
    /// Crashes at which nothing else was in flight.
    std::uint32_t alone{0};
    duration expires_in{0};
};

/// Returns the unexpired entries, those with the most crashes first.
[[nodiscard]] std::vector<quarantine_entry>
describe(const quarantine& state, instant now);

/// Returns the entry of request `id`, without crashes if there is none.
[[nodiscard]] quarantine_entry
describe(const quarantine& state, fingerprint id, instant now);

/// The action's name in logs.
[[nodiscard]] std::string_view name_of(quarantine_action action);

} // namespace apricotstile::upstream

#endif

// Requests that crash each upstream that runs them. They are told from
// innocent ones that were merely in flight at a crash by running suspects
// alone: who completes is innocent, who crashes it again is refused.

#ifndef APRICOTSTILE_UPSTREAM_QUARANTINE_HPP
#define APRICOTSTILE_UPSTREAM_QUARANTINE_HPP

#include <apricotstile/upstream/quarantine_policy.hpp>
#include <apricotstile/upstream/suspicion.hpp>

#include <unordered_map>
#include <vector>

namespace apricotstile::upstream {

struct quarantine {
    quarantine_policy policy;
    member::member_ref self;
    std::unordered_map<fingerprint, suspicion> suspicions;
    /// Totals since the daemon started.
    std::uint64_t crashes{0};
    std::uint64_t refused{0};
};

enum class verdict : std::uint8_t {
    run,
    /// Offer it to admission with `alone` set.
    run_alone,
    /// Answer `not_run`, `quarantined`.
    refuse
};

struct judgement {
    upstream::verdict verdict{verdict::run};
    /// With `refuse`: until it expires.
    duration retry_after{0};
};

/// A request that was in flight at a crash.
struct crash_witness {
    fingerprint id;
    suspect_label label;
};

/// What to do with a request that is about to be offered.
[[nodiscard]] judgement judge(quarantine& state, fingerprint id, instant now);

/// The upstream has died with `in_flight` running. Returns what to report to
/// the other daemons.
[[nodiscard]] std::vector<suspicion_report> upstream_crashed(
    quarantine& state, const std::vector<crash_witness>& in_flight, instant now
);

/// The upstream has answered request `id`, so that it is innocent. Returns
/// what to report; empty for a request that nothing was held against.
[[nodiscard]] std::vector<suspicion_report>
completed(quarantine& state, fingerprint id, instant now);

/// Takes a report of another daemon. Any order and repetition is harmless.
void merge(quarantine& state, const suspicion_report& report, instant now);

/// Everything held here, for daemons that join and against lost reports. A
/// daemon that joins merges a peer's before it serves.
[[nodiscard]] std::vector<suspicion_report>
report_all(const quarantine& state, instant now);

/// The operators' clearing of one request. Returns what to report.
[[nodiscard]] std::vector<suspicion_report>
clear(quarantine& state, fingerprint id, instant now);

/// Call about once a minute; `judge` ignores what has expired anyway.
void forget_expired(quarantine& state, instant now);

/// One line of the operators' list.
struct suspect_line {
    fingerprint id;
    suspect_label label;
    upstream::verdict verdict{verdict::run};
    std::uint32_t crashes{0};
    duration expires_in{0};
};

/// The list, the most blamed first.
[[nodiscard]] std::vector<suspect_line>
describe(const quarantine& state, instant now);

} // namespace apricotstile::upstream

#endif

// The counts of one run.

#ifndef APRICOTSTILE_STANDINS_CHECK_RUN_REPORT_HPP
#define APRICOTSTILE_STANDINS_CHECK_RUN_REPORT_HPP

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace apricotstile::standins {

struct run_report {
    /// Calls, by what became of them in the end.
    std::uint64_t requests{0};
    std::uint64_t answered{0};
    std::uint64_t not_run{0};
    std::uint64_t unknown{0};
    std::uint64_t hung_up{0};
    std::uint64_t attempts{0};
    /// Executions in the upstreams' records.
    std::uint64_t executions{0};
    /// Answered calls that no upstream ran to its end.
    std::uint64_t lost{0};
    /// Further executions of one Idempotency-Key.
    std::uint64_t doubled{0};
    /// Calls that ran though every attempt until then was told `not_run`.
    std::uint64_t not_run_but_ran{0};
    /// Executions beyond a customer's plan.
    std::uint64_t over_plan{0};
    std::uint64_t wrong_answer{0};
    /// Attempts whose exchange broke off, or whose outcome is unknown for
    /// another reason than the deadline.
    std::uint64_t cut_in_flight{0};
    /// Executions under an older token than one seen before in their slice.
    std::uint64_t stale_token{0};
    /// Overlapping executions of one slice under different tokens.
    std::uint64_t two_owners{0};
    double p50_ms{0};
    double p99_ms{0};
    double max_unavailable_ms{0};
    /// The service and slice of `max_unavailable_ms`.
    std::string max_unavailable_at;
    /// Keys of keyed services that ran at another upstream than before.
    std::uint64_t keys_moved{0};
    /// Most executions of an upstream by the mean of its service, for the
    /// least even service; upstreams with a fault are left out.
    double imbalance{0};
    /// Attempts that weren't answered, by result and refusal.
    std::map<std::string, std::uint64_t> refusals;
};

[[nodiscard]] nlohmann::json to_json(const run_report& report);

} // namespace apricotstile::standins

#endif

// All requests that callers have open at this daemon, from arrival to answer.
// Each is answered exactly once; retries are made only when safe, inside the
// deadline and the retry budget.

#ifndef APRICOTSTILE_REQUEST_INGRESS_HPP
#define APRICOTSTILE_REQUEST_INGRESS_HPP

#include <apricotstile/request/attempt.hpp>
#include <apricotstile/request/ingress_action.hpp>
#include <apricotstile/request/ingress_event.hpp>
#include <apricotstile/request/ingress_policy.hpp>
#include <apricotstile/request/retry_budget.hpp>

#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace apricotstile::request {

struct ingress_counters {
    std::uint64_t first_sends{0};
    std::uint64_t retries{0};
    /// Follow a `not_owner`, at most one a request; not on the budget, since
    /// the refusing host did no work.
    std::uint64_t redirects{0};
    /// Sent again after waiting for an owner that wasn't ready; a few a
    /// request, not on the budget either.
    std::uint64_t owner_waits{0};
    std::uint64_t retries_over_budget{0};
    /// Responses to streams that are no longer waited for.
    std::uint64_t late_or_duplicate{0};
    /// Responses from a host that the stream wasn't sent to.
    std::uint64_t misdirected{0};
    std::uint64_t answered{0};
    std::uint64_t not_run{0};
    std::uint64_t unknown{0};
};

struct ingress {
    ingress_policy policy;
    retry_budget budget;
    ingress_counters counters;
    /// The last id given to a request or a stream; never reused.
    request_id last_id;
    map_version map;
    /// True from the start of a graceful stop: arrivals are refused.
    bool stopping{false};
    std::unordered_map<request_id, attempt> attempts;
    /// The request on each stream in flight.
    std::unordered_map<request_id, request_id> streams;
    /// One entry for each attempt: its deadline or, sooner, its `resume_at`.
    std::set<std::pair<instant, request_id>> wake_ups;
};

/// A request as it comes from a caller.
struct arrival {
    bool idempotent{true};
    bool keyed{true};
    instant deadline;
};

struct arrival_result {
    /// What later events and actions call the request.
    request_id id;
    ingress_actions actions;
};

/// Takes a request in, or answers it at once when it can't be held.
[[nodiscard]] arrival_result
arrive(ingress& state, const arrival& request, instant now);

/// Applies one event. Events about requests and streams that are gone do
/// nothing but count.
[[nodiscard]] ingress_actions
step(ingress& state, const ingress_event& event, instant now);

/// When `clock_ticked` is next due; in the far future when never.
[[nodiscard]] instant next_wake_up(const ingress& state);

} // namespace apricotstile::request

#endif

// All open requests of callers at this daemon, from arrival to answer. Each is
// answered exactly once. Retries are made only if safe, within the deadline
// and the retry budget.

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
    /// Sends after a `not_owner`, at most one per request. Not charged to the
    /// budget, since the refusing host did no work.
    std::uint64_t redirects{0};
    /// Sends after a wait for an owner that wasn't ready, at most
    /// `max_owner_waits` per request. Not charged to the budget either.
    std::uint64_t owner_waits{0};
    std::uint64_t retries_over_budget{0};
    /// Responses to streams that are no longer open.
    std::uint64_t late_or_duplicate{0};
    /// Responses from another host than the stream was sent to.
    std::uint64_t misdirected{0};
    std::uint64_t answered{0};
    std::uint64_t not_run{0};
    std::uint64_t unknown{0};
};

struct ingress {
    ingress_policy policy;
    retry_budget budget;
    ingress_counters counters;
    /// The last id assigned to a request or a stream; never reused.
    request_id last_id;
    map_version map;
    /// True from the start of a graceful shutdown: new requests are refused.
    bool stopping{false};
    std::unordered_map<request_id, attempt> attempts;
    /// The request on each stream in flight.
    std::unordered_map<request_id, request_id> streams;
    /// One entry per attempt: its deadline, or its `resume_at` if earlier.
    std::set<std::pair<instant, request_id>> wake_ups;
};

/// A new request of a caller.
struct arrival {
    bool idempotent{true};
    bool keyed{true};
    instant deadline;
};

struct arrival_result {
    /// Identifies the request in later events and actions.
    request_id id;
    ingress_actions actions;
};

/// Adds a request, or answers it immediately if it can't be accepted.
[[nodiscard]] arrival_result
arrive(ingress& state, const arrival& request, instant now);

/// Handles one event. Events about requests and streams that have ended are
/// ignored; late responses are counted.
[[nodiscard]] ingress_actions
step(ingress& state, const ingress_event& event, instant now);

/// When the next `clock_ticked` is due; the maximum instant if none is.
[[nodiscard]] instant next_wake_up(const ingress& state);

} // namespace apricotstile::request

#endif

// What the upstream stand-in does with work: admission to slots and queues,
// fencing, deadlines and cancellation.

#ifndef APRICOTSTILE_STANDINS_UPSTREAM_UPSTREAM_SERVICE_HPP
#define APRICOTSTILE_STANDINS_UPSTREAM_UPSTREAM_SERVICE_HPP

#include <standins/upstream/granted_tokens.hpp>
#include <standins/upstream/served_service.hpp>
#include <standins/upstream/service_time.hpp>
#include <standins/upstream/work_item.hpp>

#include <deque>
#include <map>
#include <variant>
#include <vector>

namespace apricotstile::standins {

/// Why work was refused; it certainly did not run.
enum class work_refusal : std::uint8_t {
    shed,
    stale_token,
    deadline_passed,
    cancelled,
    unknown_service
};

/// The work occupies a slot from now on, for `takes`.
struct work_started {
    work_item item;
    duration takes{0};
    /// It is given up at its deadline and answered without a result.
    bool cut_by_deadline{false};
};

struct work_refused {
    work_id id;
    work_refusal reason{work_refusal::shed};
};

/// Running work was cancelled; its slot is free again.
struct work_stopped {
    work_id id;
};

using work_action = std::variant<work_started, work_refused, work_stopped>;
using work_actions = std::vector<work_action>;

struct service_load {
    served_service settings;
    /// At most `settings.slots`.
    std::map<work_id, work_item> running;
    /// At most `settings.queue`; empty while a slot is free.
    std::deque<work_item> waiting;
};

struct upstream_service {
    std::map<service_id, service_load> services;
    service_time times;
    bool checks_tokens{true};
    granted_tokens granted;
    instant started_at{};
    /// The share of arriving work that is shed for no reason.
    double shed_share{0};
};

/// Work has arrived: it is started, queued (no action) or refused.
[[nodiscard]] work_actions arrive(
    upstream_service& upstream,
    const work_item& item,
    instant now,
    random_source& random
);

/// Running work has ended; waiting work takes its slot.
[[nodiscard]] work_actions finish(
    upstream_service& upstream,
    const service_id& service,
    work_id id,
    instant now,
    random_source& random
);

/// Cancels the work that the daemon knows by `request_name`, if any.
[[nodiscard]] work_actions cancel(
    upstream_service& upstream,
    const std::string& request_name,
    instant now,
    random_source& random
);

/// Work that is running or waiting.
[[nodiscard]] std::size_t in_flight(const upstream_service& upstream);

/// Occupied slots by all slots.
[[nodiscard]] double load_of(const upstream_service& upstream);

} // namespace apricotstile::standins

#endif

// Events that a participant handles.

#ifndef APRICOTSTILE_LEASE_EVENT_HPP
#define APRICOTSTILE_LEASE_EVENT_HPP

#include <apricotstile/lease/message.hpp>
#include <apricotstile/member/member_row.hpp>
#include <apricotstile/platform/operations.hpp>

#include <variant>
#include <vector>

namespace apricotstile::lease {

/// Starts work that is due; delivered at least every `tick_interval`.
struct tick {};

/// An authenticated message; `from` is derived from the sender's address.
struct message_received {
    host_id from;
    message body;
};

/// Rows received from a peer; old or known rows are ignored.
struct member_rows_received {
    std::vector<member::member_row> rows;
};

/// The host with the planner role; zero while none is known.
struct planner_changed {
    host_id planner;
};

/// The services of the upstream beside the daemon.
struct services_changed {
    std::vector<member::served_service> services;
};

/// Start to drain: the record's state becomes `draining`, and slices are kept
/// until they are released.
struct drain_requested {};

/// All slices are released: leave. The lease ends immediately.
struct leave_requested {};

using event = std::variant<
    tick,
    message_received,
    platform::transaction_done,
    platform::rows_read,
    member_rows_received,
    planner_changed,
    services_changed,
    drain_requested,
    leave_requested>;

} // namespace apricotstile::lease

#endif

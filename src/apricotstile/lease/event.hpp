// What a participant is told.

#ifndef APRICOTSTILE_LEASE_EVENT_HPP
#define APRICOTSTILE_LEASE_EVENT_HPP

#include <apricotstile/lease/message.hpp>
#include <apricotstile/member/member_row.hpp>
#include <apricotstile/platform/operations.hpp>

#include <variant>
#include <vector>

namespace apricotstile::lease {

/// Time has passed; sent at least every `tick_interval`.
struct tick {};

/// An authenticated message; `from` is its sender by address.
struct message_received {
    host_id from;
    message body;
};

/// Rows learned from a peer; older or known ones do no harm.
struct members_changed {
    std::vector<member::member_row> rows;
};

/// Who holds the planner role; host zero while nobody is known to.
struct planner_changed {
    host_id planner;
};

/// The services of the upstream beside the daemon.
struct services_changed {
    std::vector<member::served_service> services;
};

/// Begin to drain: the record says so, slices are kept until released.
struct drain_requested {};

/// Every slice is released: leave. The lease ends at once.
struct leave_requested {};

using event = std::variant<
    tick,
    message_received,
    platform::transaction_done,
    platform::rows_read,
    members_changed,
    planner_changed,
    services_changed,
    drain_requested,
    leave_requested>;

} // namespace apricotstile::lease

#endif

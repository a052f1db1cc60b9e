// What a controller is told.

#ifndef APRICOTSTILE_CONTROL_EVENT_HPP
#define APRICOTSTILE_CONTROL_EVENT_HPP

#include <apricotstile/assignment/load_report.hpp>
#include <apricotstile/assignment/owner.hpp>
#include <apricotstile/control/message.hpp>
#include <apricotstile/platform/operations.hpp>

#include <variant>
#include <vector>

namespace apricotstile::control {

/// Time has passed; sent at least every `lease::tick_interval`.
struct tick {};

/// What the upstreams beside this daemon serve now.
struct services_announced {
    std::vector<member::served_service> services;
};

/// The load that this daemon saw as owner since the last report.
struct load_measured {
    std::vector<assignment::service_load> services;
};

/// Send the memory of a released slice to its next owner.
struct memory_to_send {
    host_id to;
    request::slice_handover memory;
};

/// Release everything and leave.
struct drain_requested {};

using event = std::variant<
    tick,
    envelope,
    platform::transaction_done,
    platform::rows_read,
    services_announced,
    load_measured,
    assignment::range_drained,
    memory_to_send,
    upstream::crash_report,
    drain_requested>;

} // namespace apricotstile::control

#endif

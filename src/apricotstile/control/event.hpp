// Events that a controller handles.

#ifndef APRICOTSTILE_CONTROL_EVENT_HPP
#define APRICOTSTILE_CONTROL_EVENT_HPP

#include <apricotstile/assignment/load_report.hpp>
#include <apricotstile/assignment/owner.hpp>
#include <apricotstile/control/message.hpp>
#include <apricotstile/platform/operations.hpp>

#include <variant>
#include <vector>

namespace apricotstile::control {

/// Sent at least every `lease::tick_interval`.
struct tick {};

/// The services that this daemon's local upstreams serve now.
struct services_announced {
    std::vector<member::served_service> services;
};

/// The load on the ranges that this daemon owns since the last report.
struct load_measured {
    std::vector<assignment::service_load> services;
};

/// The request memory of a released slice is ready to be sent to its next
/// owner.
struct memory_to_send {
    host_id to;
    request::slice_handover memory;
};

/// Release all owned ranges, then leave the membership.
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

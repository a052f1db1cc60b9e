// What the duties of one daemon tell each other, and what daemons send over
// TCP links.

#ifndef APRICOTSTILE_DAEMON_MESSAGES_HPP
#define APRICOTSTILE_DAEMON_MESSAGES_HPP

#include <apricotstile/assignment/load_report.hpp>
#include <apricotstile/assignment/owner.hpp>
#include <apricotstile/control/plan_controller_events.hpp>
#include <apricotstile/core/codec.hpp>
#include <apricotstile/member/member_record.hpp>
#include <apricotstile/platform/operations.hpp>
#include <apricotstile/request/routed_request.hpp>
#include <apricotstile/request/slice_handover.hpp>
#include <apricotstile/upstream/crash_record.hpp>

#include <memory>
#include <variant>
#include <vector>

namespace apricotstile::daemon {

/// Where the answer of a request goes: to this daemon's own ingress, or back
/// over one particular connection of a link.
struct request_origin {
    /// Zero for this daemon's own ingress.
    host_id host;
    /// The link's connection, which is never reused; zero for own ingress.
    std::uint64_t connection{0};
};

/// A request for the owner's side of this daemon.
struct incoming_work {
    request_origin origin;
    request::routed_request request;
    instant received_at;
};

/// The caller has gone.
struct cancelled_work {
    request_origin origin;
    request_id id;
};

/// What this daemon may dispatch as owner, from now on.
struct owner_changed {
    std::shared_ptr<const assignment::owner_state> owner;
};

using dispatch_message = std::variant<
    incoming_work,
    cancelled_work,
    owner_changed,
    assignment::stop_dispatching,
    assignment::resume_dispatching,
    assignment::range_released,
    request::slice_handover,
    upstream::crash_report>;

/// A request to send to the daemon on `host`.
struct outgoing_request {
    host_id host;
    request::routed_request request;
};

struct outgoing_cancel {
    host_id host;
    request_id id;
};

/// An answer to send back where the request came from.
struct outgoing_response {
    request_origin origin;
    request::routed_response response;
};

/// Bulk control traffic, too large for a datagram.
struct outgoing_control {
    host_id host;
    std::string payload;
};

using link_message = std::variant<
    outgoing_request,
    outgoing_cancel,
    outgoing_response,
    outgoing_control>;

/// An answer for this daemon's own ingress.
struct finished_request {
    /// Where it was sent.
    host_id host;
    request::routed_response response;
};

/// The link to `host` broke; what was in flight on it may have run.
struct link_broken {
    host_id host;
    /// Those that were in flight; others may wait on a newer link to `host`.
    std::vector<request_id> unanswered;
};

/// A request that never left: the link could not be opened.
struct request_not_sent {
    host_id host;
    request_id id;
};

/// Requests that wait for the customer's share may be tried again.
struct share_came {
    customer_id customer;
};

using ingress_message =
    std::variant<finished_request, link_broken, request_not_sent, share_came>;

using store_request = std::variant<
    platform::submit_transaction,
    platform::read_rows,
    platform::put_object,
    platform::get_object>;

using store_result = std::variant<
    platform::transaction_done,
    platform::rows_read,
    platform::object_put,
    platform::object_got>;

/// Bulk control traffic as it came in.
struct incoming_control {
    host_id host;
    std::string payload;
};

/// What the upstreams beside this daemon serve now; empty while there are
/// none or all are leaving.
struct served_services {
    std::vector<member::served_service> services;
};

/// The load seen as owner since the last report.
struct measured_load {
    std::vector<assignment::service_load> services;
};

/// The memory of a released slice, for its next owner.
struct outgoing_handover {
    host_id host;
    request::slice_handover memory;
};

/// The first request of a customer waits for a share.
struct share_needed {
    customer_id customer;
};

/// Release everything and leave.
struct drain_order {};

using control_message = std::variant<
    store_result,
    incoming_control,
    served_services,
    measured_load,
    assignment::range_drained,
    outgoing_handover,
    upstream::crash_report,
    control::apply_ordered,
    share_needed,
    drain_order>;

/// Payloads of TCP frames.
struct cancel_frame {
    request_id id;
};

struct control_frame {
    std::string payload;
};

/// Answered at once by a `pong_frame`.
struct ping_frame {};

struct pong_frame {};

template <class Archive>
void serialize(Archive& archive, cancel_frame& value) {
    archive(value.id);
}

template <class Archive>
void serialize(Archive& archive, control_frame& value) {
    archive(value.payload);
}

template <class Archive>
void serialize(Archive&, ping_frame&) {}

template <class Archive>
void serialize(Archive&, pong_frame&) {}

using frame = std::variant<
    request::routed_request,
    request::routed_response,
    cancel_frame,
    control_frame,
    ping_frame,
    pong_frame>;

} // namespace apricotstile::daemon

#endif

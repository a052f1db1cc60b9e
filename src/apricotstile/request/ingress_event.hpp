// Events that concern requests at their ingress daemon.

#ifndef APRICOTSTILE_REQUEST_INGRESS_EVENT_HPP
#define APRICOTSTILE_REQUEST_INGRESS_EVENT_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/request/outcome.hpp>
#include <apricotstile/request/routed_request.hpp>

#include <variant>

namespace apricotstile::request {

/// The answer to `find_route`: send to `host`.
struct route_found {
    request_id id;
    host_id host;
    map_version routed_by;
    /// Expected one-way latency of the link, deducted from the time left.
    duration link_latency{0};
};

/// The answer to `find_route` when there is no host to send to.
struct no_route {
    request_id id;
    request::refusal refusal{request::refusal::no_owner};
    duration retry_after{0};
};

/// The request never left this daemon, so that it didn't run.
struct send_failed {
    request_id stream;
};

/// The link closed after the request was sent; the host may have received it.
struct link_lost {
    request_id stream;
};

/// `response.id` is the stream that it answers.
struct response_arrived {
    host_id from;
    routed_response response;
};

/// This daemon's assignment map is now `version`.
struct map_changed {
    map_version version;
};

/// The caller has closed its connection.
struct caller_gone {
    request_id id;
};

/// Time has passed. Must be sent by `next_wake_up`.
struct clock_ticked {};

using ingress_event = std::variant<
    route_found,
    no_route,
    send_failed,
    link_lost,
    response_arrived,
    map_changed,
    caller_gone,
    clock_ticked>;

} // namespace apricotstile::request

#endif

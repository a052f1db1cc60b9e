// A caller's request on its way.

#ifndef APRICOTSTILE_ROUTER_INTERNAL_PENDING_REQUEST_HPP
#define APRICOTSTILE_ROUTER_INTERNAL_PENDING_REQUEST_HPP

#include <apricotstile/router/ingress.hpp>

namespace apricotstile::router {

struct ingress::pending_request {
    caller_id caller;
    std::string id;
    http::received_request received;
    /// Keeps `where` alive.
    std::shared_ptr<const routing::route_table> table;
    const routing::route* route{nullptr};
    service_id service;
    std::optional<keys::key_number> key;
    /// Its route, path and body.
    std::uint64_t content_hash{0};
    /// When its caller first asked for it, and until when it waits.
    instant first_attempt;
    instant caller_deadline;
    serving::request_progress progress;
    /// The attempt in progress; rises, so that late ends are told apart.
    std::uint64_t attempt_number{0};
    host_id host;
    std::function<void()> cancel;
    net::timer_id deadline_timer;
    net::timer_id retry_timer;
    std::string attempt_trace;
};

} // namespace apricotstile::router

#endif

// A caller's request that isn't answered yet.

#ifndef APRICOTSTILE_EDGE_INTERNAL_PENDING_REQUEST_HPP
#define APRICOTSTILE_EDGE_INTERNAL_PENDING_REQUEST_HPP

#include <apricotstile/edge/request_router.hpp>
#include <apricotstile/serving/memory_reservation.hpp>

namespace apricotstile::edge {

/// A request at one host.
struct attempt_in_progress {
    attempt_id id;
    host_id host;
    std::function<void()> cancel;
};

struct request_router::pending_request {
    explicit pending_request(serving::memory_budget& memory) : memory(memory) {}

    caller_id caller;
    std::string id;
    http::received_request received;
    /// Keeps `route` alive.
    std::shared_ptr<const routing::route_table> table;
    const routing::route* route{nullptr};
    service_id service;
    std::optional<keys::key_number> key;
    /// Hash of route, path and body.
    std::uint64_t content_hash{0};
    /// When its caller first sent it, and when the caller stops waiting.
    instant first_attempt;
    instant caller_deadline;
    serving::request_progress progress;
    /// Whether the last choice of a host left out one for its region.
    bool region_excluded{false};
    std::optional<attempt_in_progress> attempt;
    /// An earlier one, whose host became unresponsive. The request may be
    /// running there, so its answer is still of use.
    std::optional<attempt_in_progress> unresponsive_attempt;
    /// For the request without its body, and for the answer that is expected.
    serving::memory_reservation memory;
    net::timer_id deadline_timer;
    net::timer_id retry_timer;
    std::string attempt_trace;
};

} // namespace apricotstile::edge

#endif

// A request at the daemon whose local upstream is to run it.

#ifndef APRICOTSTILE_UPSTREAM_DISPATCH_WORK_HPP
#define APRICOTSTILE_UPSTREAM_DISPATCH_WORK_HPP

#include <apricotstile/request/routed_request.hpp>
#include <apricotstile/upstream/fingerprint.hpp>
#include <apricotstile/upstream/offered_work.hpp>

#include <string>

namespace apricotstile::upstream {

struct dispatch_work {
    work_id id;
    /// Host of the ingress daemon that sent it.
    host_id ingress_host;
    request::routed_request request;
    /// True if only the owner of `slice` may run it. Every non-idempotent
    /// request must be owned, also one to an unsharded service.
    bool requires_owner{true};
    slice_id slice;
    /// Fencing token that the daemon held when the request arrived.
    fencing_token token;
    instant deadline;
    /// Set by `receive`.
    request_identity identity;
    /// Whether it must run with nothing else in flight.
    bool alone{false};
    /// Whether it has been sent to the upstream.
    bool called{false};
};

/// How a call to the upstream ended.
enum class call_end : std::uint8_t {
    /// Complete response.
    answered,
    /// The upstream said that it did not run the request.
    not_run,
    /// The connection broke, or the response was truncated.
    lost,
    /// No response by the deadline, or none after a cancellation.
    timed_out
};

struct call_result {
    call_end end{call_end::lost};
    /// Set with `answered`.
    std::uint16_t status{0};
    std::string content_type;
    std::string body;
};

} // namespace apricotstile::upstream

#endif

// One request at the daemon beside the upstream that is to run it.

#ifndef APRICOTSTILE_UPSTREAM_DISPATCH_WORK_HPP
#define APRICOTSTILE_UPSTREAM_DISPATCH_WORK_HPP

#include <apricotstile/request/routed_request.hpp>
#include <apricotstile/upstream/fingerprint.hpp>
#include <apricotstile/upstream/offered_work.hpp>

#include <string>

namespace apricotstile::upstream {

struct dispatch_work {
    work_id id;
    /// The ingress daemon that sent it.
    host_id from;
    request::routed_request request;
    /// Where it belongs when one owner alone may run it. Every non-idempotent
    /// request does, also one of a service that isn't divided by key.
    bool owned{true};
    slice_id slice;
    /// The token that the daemon held when the request came.
    fencing_token token;
    instant deadline;
    /// Set on arrival.
    fingerprint print;
    /// Whether it was offered to run with nothing else in flight.
    bool alone{false};
    /// Whether it has been sent to the upstream.
    bool called{false};
};

/// How a call to the upstream ended.
enum class call_end : std::uint8_t {
    /// With a whole answer.
    answered,
    /// The upstream said that it did not run it.
    not_run,
    /// The connection broke, or the answer was cut short.
    lost,
    /// No answer by the deadline, or given up on after a cancel.
    timed_out
};

struct call_result {
    call_end end{call_end::lost};
    /// With `answered`.
    std::uint16_t status{0};
    std::string content_type;
    std::string body;
};

} // namespace apricotstile::upstream

#endif

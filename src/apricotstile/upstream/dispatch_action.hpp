// Actions that the dispatcher asks its caller to carry out.

#ifndef APRICOTSTILE_UPSTREAM_DISPATCH_ACTION_HPP
#define APRICOTSTILE_UPSTREAM_DISPATCH_ACTION_HPP

#include <apricotstile/request/routed_request.hpp>
#include <apricotstile/upstream/crash_record.hpp>
#include <apricotstile/upstream/offered_work.hpp>

#include <variant>
#include <vector>

namespace apricotstile::upstream {

/// Send the request to the upstream now and report its result to `call_ended`.
struct call_upstream {
    work_id id;
};

/// Ask the upstream to stop; the result must still be reported to `call_ended`.
struct cancel_call {
    work_id id;
};

/// Send `response`, whose id is that of the request, to the ingress daemon at
/// `to`. The dispatcher has already forgotten the request.
struct respond {
    work_id id;
    host_id to;
    request::routed_response response;
};

/// Send the report to all other daemons.
struct broadcast_report {
    crash_report report;
};

using dispatch_action =
    std::variant<call_upstream, cancel_call, respond, broadcast_report>;
using dispatch_actions = std::vector<dispatch_action>;

} // namespace apricotstile::upstream

#endif

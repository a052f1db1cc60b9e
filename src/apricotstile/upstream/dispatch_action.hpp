// What the daemon beside an upstream is to do about its requests.

#ifndef APRICOTSTILE_UPSTREAM_DISPATCH_ACTION_HPP
#define APRICOTSTILE_UPSTREAM_DISPATCH_ACTION_HPP

#include <apricotstile/request/routed_request.hpp>
#include <apricotstile/upstream/offered_work.hpp>
#include <apricotstile/upstream/suspicion.hpp>

#include <variant>
#include <vector>

namespace apricotstile::upstream {

/// Send the request to the upstream at once and report how it ended.
struct call_upstream {
    work_id id;
};

/// Ask the upstream to stop; how it ended is still to be reported.
struct cancel_call {
    work_id id;
};

/// Send `response`, whose id is the request's own, to the host that the
/// request came from. The work is then gone.
struct respond {
    work_id id;
    host_id to;
    request::routed_response response;
};

/// Tell the other daemons.
struct spread_report {
    suspicion_report report;
};

using dispatch_action =
    std::variant<call_upstream, cancel_call, respond, spread_report>;
using dispatch_actions = std::vector<dispatch_action>;

} // namespace apricotstile::upstream

#endif

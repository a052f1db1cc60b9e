// Handles requests at the daemon whose local upstream runs them: quarantine,
// idempotency keys, admission control, and a final check of ownership and
// deadline just before the call.

#ifndef APRICOTSTILE_UPSTREAM_DISPATCHER_HPP
#define APRICOTSTILE_UPSTREAM_DISPATCHER_HPP

#include <apricotstile/request/owner_memory.hpp>
#include <apricotstile/upstream/admission.hpp>
#include <apricotstile/upstream/dispatch_action.hpp>
#include <apricotstile/upstream/dispatch_work.hpp>
#include <apricotstile/upstream/quarantine.hpp>

#include <functional>
#include <unordered_map>

namespace apricotstile::upstream {

/// Whether the daemon still owns the slice of `work` and may run it at `now`:
/// checks the lease, the fencing token and, for an upstream that checks no
/// tokens, that the deadline is within the lease. Must have no side effects.
using ownership_check = std::function<bool(const dispatch_work&, instant now)>;

struct dispatcher {
    /// Must be set before the first request.
    ownership_check still_owns;
    upstream::admission admission;
    request::owner_memory memory;
    upstream::quarantine quarantine;
    /// All queued and running requests; answered ones are erased.
    std::unordered_map<work_id, dispatch_work> work;
    map_version map;
};

/// Handles a new request; its id must be unique.
[[nodiscard]] dispatch_actions
receive(dispatcher& state, dispatch_work work, instant now);

/// Handles the result of a call. Ignored if the request is no longer known.
[[nodiscard]] dispatch_actions call_ended(
    dispatcher& state, work_id id, const call_result& result, instant now
);

/// Handles a crash of the upstream: all calls in flight are lost. Calls nothing
/// until `ready`.
[[nodiscard]] dispatch_actions crashed(dispatcher& state, instant now);

/// Handles a new announcement of the upstream after a restart.
[[nodiscard]] dispatch_actions ready(dispatcher& state, instant now);

/// Cancels `id`: its ingress daemon no longer waits.
[[nodiscard]] dispatch_actions
cancel(dispatcher& state, work_id id, instant now);

/// Handles timeouts. Must be called no later than
/// `next_wake_up(state.admission)`.
[[nodiscard]] dispatch_actions tick(dispatcher& state, instant now);

} // namespace apricotstile::upstream

#endif

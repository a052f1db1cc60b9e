// Everything that the daemon beside an upstream decides about a request, put
// together: quarantine, the memory of keys, admission, and the last look at
// ownership and deadline before the call.

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

/// Whether the daemon still owns what `work` needs and may run it at `now`:
/// lease, token and, for an upstream that checks no tokens, a deadline that
/// doesn't outlive the lease. Must not change anything.
using ownership_check = std::function<bool(const dispatch_work&, instant now)>;

struct dispatcher {
    /// Never empty when a request arrives.
    ownership_check still_owns;
    upstream::admission admission;
    request::owner_memory memory;
    upstream::quarantine quarantine;
    /// All work that waits or runs; answered work is gone.
    std::unordered_map<work_id, dispatch_work> work;
    map_version map;
};

/// Takes a request in; its id must be new.
[[nodiscard]] dispatch_actions
receive(dispatcher& state, dispatch_work work, instant now);

/// Takes the end of a call. Ignored for work that is gone.
[[nodiscard]] dispatch_actions
ended(dispatcher& state, work_id id, const call_result& result, instant now);

/// The upstream died, with all calls in flight. Nothing is called until
/// `ready`.
[[nodiscard]] dispatch_actions crashed(dispatcher& state, instant now);

/// The upstream has announced itself anew.
[[nodiscard]] dispatch_actions ready(dispatcher& state, instant now);

/// The ingress daemon no longer waits for `id`.
[[nodiscard]] dispatch_actions
cancel(dispatcher& state, work_id id, instant now);

/// Time has passed. Due by `next_wake_up(state.admission)`.
[[nodiscard]] dispatch_actions tick(dispatcher& state, instant now);

} // namespace apricotstile::upstream

#endif

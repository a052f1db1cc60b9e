// Decides whether a request may be dispatched to this daemon's upstream. Call
// this immediately before each dispatch: map, releases and lease may have
// changed since an earlier decision.

#ifndef APRICOTSTILE_ASSIGNMENT_DISPATCH_HPP
#define APRICOTSTILE_ASSIGNMENT_DISPATCH_HPP

#include <apricotstile/assignment/assignment_map.hpp>
#include <apricotstile/assignment/range_id.hpp>
#include <apricotstile/core/time.hpp>

#include <optional>
#include <string_view>

namespace apricotstile::assignment {

struct owner_state;

enum class dispatch_verdict : std::uint8_t {
    /// Dispatch now, with the decision's fencing token.
    serve,
    /// Keep the request in a bounded queue and decide again later: the range is
    /// being handed over to this member, or this member has no valid lease
    /// until it is renewed.
    hold,
    /// The request certainly wasn't run; `member` is the owner according to
    /// this daemon's map.
    not_owner,
    /// The request certainly wasn't run; the range is being handed over to
    /// `member`, which queues requests for it. Host zero if the target isn't
    /// known yet.
    drained
};

struct dispatch_decision {
    dispatch_verdict verdict{dispatch_verdict::not_owner};
    range_id range;
    fencing_token token;
    member::member_ref member;
    /// The map version that the decision is based on.
    apricotstile::map_version map_version;
};

/// The state that a dispatch decision is based on.
struct dispatch_view {
    const assignment_map& map;
    const owner_state& owner;
    /// When this member's lease expires; empty if it has none.
    std::optional<instant> lease_until;
};

/// Decides at `now` on a request for `key` of `service`.
[[nodiscard]] dispatch_decision decide_dispatch(
    const dispatch_view& view,
    const service_id& service,
    std::string_view key,
    instant now
);

} // namespace apricotstile::assignment

#endif

// Whether a request may go to the upstream beside this daemon. To be asked
// immediately before each dispatch; an earlier answer proves nothing.

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
    /// Dispatch now, under the decision's token.
    serve,
    /// Keep the request in a bounded queue and ask again: the range is on its
    /// way here, or the lease is being renewed.
    hold,
    /// Certainly not run; `member` is the owner by this daemon's map.
    not_owner,
    /// Certainly not run; the range is on its way to `member`, which holds
    /// requests for it. Host zero when no target is known yet.
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

/// What a decision is based on.
struct dispatch_view {
    const assignment_map& map;
    const owner_state& owner;
    /// The end of this member's lease; empty without one.
    std::optional<instant> lease_until;
};

/// Decides on a request for `key` of `service`.
[[nodiscard]] dispatch_decision decide_dispatch(
    const dispatch_view& view,
    const service_id& service,
    std::string_view key,
    instant now
);

} // namespace apricotstile::assignment

#endif

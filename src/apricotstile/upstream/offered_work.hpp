// A request offered to the local upstream.

#ifndef APRICOTSTILE_UPSTREAM_OFFERED_WORK_HPP
#define APRICOTSTILE_UPSTREAM_OFFERED_WORK_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/request/routed_request.hpp>

#include <cstdint>

namespace apricotstile::upstream {

/// Identifies a request within the owner's daemon; never reused. Stream ids
/// can't serve for this, since those of two ingress daemons may collide.
using work_id = strong_id<struct work_id_tag, std::uint64_t>;

struct offered_work {
    work_id id;
    request::work_class priority{request::work_class::normal};
    instant deadline;
    /// Runs with nothing else in flight, because it is suspected of crashing
    /// the upstream.
    bool alone{false};
};

} // namespace apricotstile::upstream

#endif

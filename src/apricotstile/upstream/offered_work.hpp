// A request that is to be run by the upstream beside this daemon.

#ifndef APRICOTSTILE_UPSTREAM_OFFERED_WORK_HPP
#define APRICOTSTILE_UPSTREAM_OFFERED_WORK_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/request/routed_request.hpp>

#include <cstdint>

namespace apricotstile::upstream {

/// A request at its owner as the owner counts it; never reused. Stream ids of
/// two ingress daemons may be alike.
using work_id = strong_id<struct work_id_tag, std::uint64_t>;

struct offered_work {
    work_id id;
    request::work_class importance{request::work_class::normal};
    instant deadline;
    /// Runs with nothing else in flight, since it may crash the upstream.
    bool alone{false};
};

} // namespace apricotstile::upstream

#endif

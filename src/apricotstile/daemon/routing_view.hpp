// What the control duty publishes for the duties that handle requests.

#ifndef APRICOTSTILE_DAEMON_ROUTING_VIEW_HPP
#define APRICOTSTILE_DAEMON_ROUTING_VIEW_HPP

#include <apricotstile/assignment/assignment_map.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/member/member_record.hpp>

#include <atomic>
#include <map>
#include <memory>

namespace apricotstile::daemon {

/// An immutable picture of the deployment.
struct routing_view {
    member::member_ref self;
    std::shared_ptr<const assignment::assignment_map> map;
    std::map<host_id, member::member_record> members;
};

/// Shared by all duties of a daemon; written by the control duty only.
struct published_state {
    std::atomic<std::shared_ptr<const routing_view>> view{
        std::make_shared<const routing_view>()};
    /// The lease of this daemon holds until then; in the past while none is
    /// held. Counted on the boot clock.
    std::atomic<instant> lease_valid_until{instant{}};
    /// Set once the daemon drains.
    std::atomic<bool> draining{false};
};

} // namespace apricotstile::daemon

#endif

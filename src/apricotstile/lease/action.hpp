// Actions that a participant returns for its caller to perform.

#ifndef APRICOTSTILE_LEASE_ACTION_HPP
#define APRICOTSTILE_LEASE_ACTION_HPP

#include <apricotstile/lease/message.hpp>
#include <apricotstile/member/member_row.hpp>
#include <apricotstile/platform/operations.hpp>

#include <variant>
#include <vector>

namespace apricotstile::lease {

/// Send `body` once, as one authenticated datagram.
struct send_message {
    host_id to;
    message body;
};

/// Rows newly read from the table, to be sent to peers and the planner.
struct member_rows_learned {
    std::vector<member::member_row> rows;
};

/// This daemon has become the member `self`. It owns no slices yet.
struct join_completed {
    member::member_ref self;
};

/// The member `self` was deposed and owns none of its slices any more. The
/// participant rejoins on its own, under a new incarnation.
struct membership_lost {
    member::member_ref self;
};

/// This daemon's transaction deposed `members`: their slices may be assigned
/// to other members, with higher fencing tokens.
struct members_deposed {
    std::vector<member::member_ref> members;
};

/// The member has left; the daemon may exit.
struct leave_completed {};

using action = std::variant<
    send_message,
    platform::submit_transaction,
    platform::read_rows,
    member_rows_learned,
    join_completed,
    membership_lost,
    members_deposed,
    leave_completed>;

using actions = std::vector<action>;

} // namespace apricotstile::lease

#endif

// What a participant asks its shell to do.

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

/// Rows newly learned from the table; spread them to peers and the planner.
struct members_seen {
    std::vector<member::member_row> rows;
};

/// This daemon is now the member `self`. It owns nothing yet.
struct joined {
    member::member_ref self;
};

/// The member `self` was deposed: everything it held is lost. The participant
/// joins again by itself, under a new incarnation.
struct membership_lost {
    member::member_ref self;
};

/// This daemon's transaction deposed `members`: their slices may be given to
/// others, with raised tokens.
struct members_deposed {
    std::vector<member::member_ref> members;
};

/// The member has left; the daemon may end.
struct left {};

using action = std::variant<
    send_message,
    platform::submit_transaction,
    platform::read_rows,
    members_seen,
    joined,
    membership_lost,
    members_deposed,
    left>;

using actions = std::vector<action>;

} // namespace apricotstile::lease

#endif

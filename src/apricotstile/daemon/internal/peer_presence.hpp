// Whether the member behind a link may still own slices, by the published
// view.

#ifndef APRICOTSTILE_DAEMON_INTERNAL_PEER_PRESENCE_HPP
#define APRICOTSTILE_DAEMON_INTERNAL_PEER_PRESENCE_HPP

#include <apricotstile/member/member_record.hpp>

#include <map>

namespace apricotstile::daemon::internal {

using member_map = std::map<host_id, member::member_record>;

/// What a link has seen of its peer.
struct peer_presence {
    /// The incarnation that might own slices; zero before one was seen.
    incarnation seen;
};

/// Whether `host` is a member that must not own slices any more.
[[nodiscard]] bool owns_nothing(const member_map& members, host_id host);

/// Whether the incarnation that the link has seen was deposed, left, was
/// replaced or is no longer listed. A host that the view doesn't list yet
/// hasn't gone: links are also opened to members that join.
[[nodiscard]] bool
has_gone(peer_presence& state, const member_map& members, host_id host);

/// Whether a member besides `self` may be given slices.
[[nodiscard]] bool others_active(const member_map& members, host_id self);

} // namespace apricotstile::daemon::internal

#endif

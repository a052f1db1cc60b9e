// Questions about the members of the published view.

#include <apricotstile/daemon/internal/peer_presence.hpp>

#include <algorithm>

namespace apricotstile::daemon::internal {

bool owns_nothing(const member_map& members, host_id host) {
    const auto found = members.find(host);
    return found != members.end() && !member::owns_slices(found->second.state);
}

bool has_gone(peer_presence& state, const member_map& members, host_id host) {
    const auto found = members.find(host);
    const bool listed = found != members.end();
    const bool may_own = listed && member::owns_slices(found->second.state);
    if (state.seen == incarnation{}) {
        state.seen = may_own ? found->second.self.incarnation : incarnation{};
        return false;
    }
    return !may_own || found->second.self.incarnation != state.seen;
}

bool others_active(const member_map& members, host_id self) {
    return std::any_of(members.begin(), members.end(), [self](const auto& one) {
        return one.first != self &&
               one.second.state == member::member_state::active;
    });
}

} // namespace apricotstile::daemon::internal

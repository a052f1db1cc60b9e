// Promises and consents to revocations.

#include <apricotstile/keys/guardian.hpp>

#include <algorithm>

namespace apricotstile::keys {

promise_result promise(
    guardian& state,
    host_id holder,
    platform::row_version version,
    incarnation run,
    instant now
) {
    if (run != state.run) {
        return promise_result::another_run;
    }
    guardian::lease_state& lease = state.leases[holder];
    if (version <= lease.revoked_version && lease.revoked_version.value != 0) {
        return promise_result::given_up;
    }
    lease.promised_until = now + longest_promise(state.policy);
    return promise_result::promised;
}

bool agree_to_depose(
    guardian& state, host_id holder, platform::row_version version, instant now
) {
    if (now < state.started + longest_promise(state.policy)) {
        return false;
    }
    guardian::lease_state& lease = state.leases[holder];
    if (now < lease.promised_until) {
        return false;
    }
    lease.revoked_version = std::max(lease.revoked_version, version);
    return true;
}

} // namespace apricotstile::keys

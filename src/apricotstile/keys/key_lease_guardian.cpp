// Promises and consents to revocations.

#include <apricotstile/keys/key_lease_guardian.hpp>

#include <algorithm>

namespace apricotstile::keys {

promise_result promise(
    key_lease_guardian& state,
    host_id holder,
    platform::row_version version,
    incarnation run,
    instant now
) {
    if (run != state.run) {
        return promise_result::wrong_incarnation;
    }
    key_lease_guardian::lease_state& lease = state.leases[holder];
    if (version <= lease.revoked_version && lease.revoked_version.value != 0) {
        return promise_result::lease_revoked;
    }
    lease.promised_until = now + max_promise_duration(state.policy);
    return promise_result::promised;
}

bool consent_to_revocation(
    key_lease_guardian& state,
    host_id holder,
    platform::row_version version,
    instant now
) {
    if (now < state.started + max_promise_duration(state.policy)) {
        return false;
    }
    key_lease_guardian::lease_state& lease = state.leases[holder];
    if (now < lease.promised_until) {
        return false;
    }
    lease.revoked_version = std::max(lease.revoked_version, version);
    return true;
}

} // namespace apricotstile::keys

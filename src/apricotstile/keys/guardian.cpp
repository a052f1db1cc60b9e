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
    guardian::ward& ward = state.wards[holder];
    if (version <= ward.given_up && ward.given_up.value != 0) {
        return promise_result::given_up;
    }
    ward.promised_until = now + longest_promise(state.policy);
    return promise_result::promised;
}

bool agree_to_depose(
    guardian& state, host_id holder, platform::row_version version, instant now
) {
    if (now < state.started + longest_promise(state.policy)) {
        return false;
    }
    guardian::ward& ward = state.wards[holder];
    if (now < ward.promised_until) {
        return false;
    }
    ward.given_up = std::max(ward.given_up, version);
    return true;
}

} // namespace apricotstile::keys

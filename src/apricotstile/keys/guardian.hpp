// The promises that one daemon makes for the leases of others. A promise
// lets a holder grant keys for a while; a guardian that agrees to a holder's
// deposition promises nothing more for that lease.
//
// Promises are held in memory alone: a guardian that has just started agrees
// to nothing until whatever its last run promised has ended.

#ifndef APRICOTSTILE_KEYS_GUARDIAN_HPP
#define APRICOTSTILE_KEYS_GUARDIAN_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/keys/lease_policy.hpp>
#include <apricotstile/platform/transaction.hpp>

#include <map>

namespace apricotstile::keys {

struct guardian {
    lease_policy policy;
    instant started;

    struct ward {
        /// No deposition is agreed to before.
        instant promised_until;
        /// The newest version of its lease whose deposition was agreed to.
        platform::row_version given_up;
    };
    std::map<host_id, ward> wards;
};

/// Whether the lease at `version` is promised for another
/// `policy.promise_length`, counted by the holder from when it asked.
[[nodiscard]] bool promise(
    guardian& state, host_id holder, platform::row_version version, instant now
);

/// Whether the holder of the lease at `version` may be deposed as far as this
/// guardian is concerned.
[[nodiscard]] bool agree_to_depose(
    guardian& state, host_id holder, platform::row_version version, instant now
);

} // namespace apricotstile::keys

#endif

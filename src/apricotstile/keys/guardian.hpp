// The promises that one daemon makes for the leases of others. A promise
// lets a holder grant keys for a while; a guardian that agrees to a holder's
// deposition promises nothing more for that lease.
//
// Promises and agreements are held in memory alone. So a guardian promises
// only where this very run of it was asked, and one that has just started
// agrees to nothing until whatever its last run promised has ended.

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
    /// Of this daemon.
    incarnation run;
    instant started;

    struct ward {
        /// No deposition is agreed to before.
        instant promised_until;
        /// The newest version of its lease whose deposition was agreed to.
        platform::row_version given_up;
    };

    std::map<host_id, ward> wards;
};

enum class promise_result : std::uint8_t {
    /// For `policy.promise_length`, counted by the holder from when it asked.
    promised,
    /// The guardian has agreed to end this lease.
    given_up,
    /// Another run of the guardian was asked.
    another_run
};

/// `run` of this guardian is asked to promise the lease at `version`.
[[nodiscard]] promise_result promise(
    guardian& state,
    host_id holder,
    platform::row_version version,
    incarnation run,
    instant now
);

/// Whether the holder of the lease at `version` may be deposed as far as this
/// guardian is concerned.
[[nodiscard]] bool agree_to_depose(
    guardian& state, host_id holder, platform::row_version version, instant now
);

} // namespace apricotstile::keys

#endif

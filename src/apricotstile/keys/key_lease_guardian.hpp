// One daemon as a guardian of other daemons' leases: it votes on whether they
// stay valid. A promise is a time-limited vote that keeps a lease valid, so
// that its holder may grant keys. A guardian that has consented to the
// revocation of a lease makes no further promise for that version of it.
//
// Promises and consents are kept in memory only and are lost on a restart.
// Therefore a guardian makes a promise only if the request names its current
// incarnation, and after a start it consents to no revocation until every
// promise of its previous run has expired.

#ifndef APRICOTSTILE_KEYS_KEY_LEASE_GUARDIAN_HPP
#define APRICOTSTILE_KEYS_KEY_LEASE_GUARDIAN_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/keys/lease_policy.hpp>
#include <apricotstile/platform/transaction.hpp>

#include <map>

namespace apricotstile::keys {

struct key_lease_guardian {
    lease_policy policy;
    /// The current incarnation of this daemon.
    incarnation run;
    /// The start of this run.
    instant started;

    struct lease_state {
        /// When the last promise expires; no consent is given before.
        instant promised_until;
        /// The newest version of the lease row whose revocation this guardian
        /// has consented to; zero for none.
        platform::row_version revoked_version;
    };

    std::map<host_id, lease_state> leases;
};

enum class promise_result : std::uint8_t {
    /// Lasts `policy.promise_duration`, counted by the holder from the time at
    /// which it sent the request.
    promised,
    /// The guardian has consented to the revocation of this lease.
    lease_revoked,
    /// The request names another incarnation of the guardian.
    wrong_incarnation
};

/// Handles a request to incarnation `run` of this guardian for a promise of
/// the lease of `holder` at row version `version`.
[[nodiscard]] promise_result promise(
    key_lease_guardian& state,
    host_id holder,
    platform::row_version version,
    incarnation run,
    instant now
);

/// Handles a request to consent to the revocation of the lease of `holder` at
/// row version `version`. Returns whether the guardian consents; a consent is
/// final for this version and older ones.
[[nodiscard]] bool consent_to_revocation(
    key_lease_guardian& state,
    host_id holder,
    platform::row_version version,
    instant now
);

} // namespace apricotstile::keys

#endif

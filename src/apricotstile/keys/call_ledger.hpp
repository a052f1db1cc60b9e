// What a daemon knows of the grants that it has made to its instance by calls.

#ifndef APRICOTSTILE_KEYS_CALL_LEDGER_HPP
#define APRICOTSTILE_KEYS_CALL_LEDGER_HPP

#include <apricotstile/directory/instance_run.hpp>
#include <apricotstile/keys/instance_call.hpp>

#include <map>
#include <optional>
#include <vector>

namespace apricotstile::keys {

struct called_grant {
    key_range keys;
    fencing_token fence;
    /// Requests for the keys may be sent to the instance until then.
    instant usable_until{instant::min()};
    /// When no call made so far lets the instance hold the keys any more, on
    /// any clock.
    instant expires_at{instant::min()};
    /// Until then a call without a response may let the instance hold the keys,
    /// even after it has released them.
    instant in_doubt_until{instant::min()};
    instant renew_at{instant::min()};
};

/// A token that the instance has rejected as outdated.
struct rejected_token {
    key_range keys;
    fencing_token fence;
};

struct call_ledger {
    /// The run of the instance that the grants were made to.
    std::optional<directory::instance_run> instance;
    /// Without overlap.
    std::vector<called_grant> grants;

    struct pending_grant {
        grant_call call;
        instant sent;
    };

    std::map<instance_call_id, pending_grant> pending_grants;
    std::vector<rejected_token> rejected;
    /// No grant is sent before, as the last call failed.
    instant retry_at{instant::min()};
    instance_call_id last_id;
};

/// Whether the instance has seen a higher token than `fence` on a part of
/// `keys`.
[[nodiscard]] bool is_token_outdated(
    const call_ledger& ledger, const key_range& keys, fencing_token fence
);

} // namespace apricotstile::keys

#endif

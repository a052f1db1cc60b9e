// Decides on the calls that grant keys to the instance and take them back.
//
// A call without a response may have arrived at any time until its connection
// was aborted, and may be carried out later, after newer calls; its time counts
// from its arrival. So after such a call the instance counts as a holder of the
// keys for the duration of the grant from then on, whatever it responds to
// a release. Grants are short enough that this ends before the lease does.

#ifndef APRICOTSTILE_KEYS_GRANTS_BY_CALL_HPP
#define APRICOTSTILE_KEYS_GRANTS_BY_CALL_HPP

#include <apricotstile/keys/instance_call.hpp>
#include <apricotstile/keys/key_owner.hpp>

#include <optional>
#include <vector>

namespace apricotstile::keys {

/// The grant that is due most urgently, which is recorded as sent, or nothing.
/// The caller sends it at once and aborts its connection after
/// `key_owner_policy::call_timeout`.
[[nodiscard]] std::optional<grant_call>
next_grant_call(key_owner& state, instant now);

/// The releases that are due, which are recorded as sent. Also notes releases
/// that are certain without a response.
[[nodiscard]] std::vector<release_call>
due_release_calls(key_owner& state, instant now);

/// Handles the end of a grant call; `now` isn't before its connection was
/// aborted if there was no response. Ignores calls to earlier runs of the
/// instance.
void handle_grant_result(
    key_owner& state,
    instance_call_id id,
    const call_result& result,
    instant now
);

/// Handles the end of a release call.
void handle_release_result(
    key_owner& state,
    instance_call_id id,
    const call_result& result,
    instant now
);

} // namespace apricotstile::keys

#endif

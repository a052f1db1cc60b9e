// Decides on the calls that grant keys to the instance and take them back.
//
// A call without a response may have arrived at any time until its connection
// was aborted, and may be carried out later, after newer calls; its time counts
// from its arrival. So after such a call the instance counts as a holder of the
// keys for the duration of the grant from then on, whatever it responds to
// a release. Grants are short enough that this ends before the lease does.
//
// A response to a release counts once a later heartbeat shows that the known
// instance gave it.

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

/// Handles the end of a release call. A response proves nothing yet: the
/// address may have gone to another instance while the known one still holds
/// the keys.
void handle_release_result(
    key_owner& state,
    instance_call_id id,
    const call_result& result,
    instant now
);

/// Handles a heartbeat of the known instance, which proves that it gave the
/// responses from before the heartbeat was sent. Instances give up a heartbeat
/// after `key_owner_policy::answer_timeout`.
void confirm_release_responses(key_owner& state, instant now);

/// Another instance has announced itself. It may have given the responses that
/// no heartbeat has confirmed.
void forget_release_responses(key_owner& state);

} // namespace apricotstile::keys

#endif

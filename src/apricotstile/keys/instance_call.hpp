// Calls by which a daemon grants keys to the instance beside it and takes them
// back, for services whose instances don't get their keys in the answers to
// heartbeats.

#ifndef APRICOTSTILE_KEYS_INSTANCE_CALL_HPP
#define APRICOTSTILE_KEYS_INSTANCE_CALL_HPP

#include <apricotstile/core/strong_id.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/keys/key_map.hpp>

#include <cstdint>
#include <string>

namespace apricotstile::keys {

/// Never reused by one run of a daemon; zero means no call.
using instance_call_id = strong_id<struct instance_call_id_tag, std::uint64_t>;

/// Grants keys, or renews the grant of the same keys under the same token.
struct grant_call {
    instance_call_id id;
    key_range keys;
    fencing_token fence;
    std::string handover;
    /// Counted by the instance from the arrival of the call.
    duration grant_duration{0};
};

/// Takes keys back. The instance responds once its work on them has ended.
struct release_call {
    instance_call_id id;
    key_range keys;
    fencing_token fence;
};

enum class call_outcome : std::uint8_t {
    accepted,
    /// The instance has seen a higher token on one of the keys.
    outdated_token,
    /// The instance responded that it did nothing.
    rejected,
    /// The call certainly never arrives.
    not_sent,
    /// It may have arrived, and an instance may carry it out later.
    no_response
};

struct call_result {
    call_outcome outcome{call_outcome::no_response};
    /// With an accepted release: opaque state for the next holder.
    std::string handover;
};

} // namespace apricotstile::keys

#endif

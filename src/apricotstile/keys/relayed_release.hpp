// Releases of several owners in one transaction. All changes of a service's
// keys write the map's row, so owners that each submitted their own would
// contend for it. An owner sends its release to the member that comes first in
// the order of hosts, which submits it together with others.
//
// The transaction has the same condition on the owner's lease row as the
// owner's own would have. To the owner, a member that doesn't answer is like a
// store that doesn't.

#ifndef APRICOTSTILE_KEYS_RELAYED_RELEASE_HPP
#define APRICOTSTILE_KEYS_RELAYED_RELEASE_HPP

#include <apricotstile/keys/key_map.hpp>
#include <apricotstile/platform/transaction.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace apricotstile::keys {

struct key_owner;

/// What an owner's release writes.
struct relayed_release {
    host_id owner;
    /// Identifies it among those of this owner.
    std::uint64_t sequence{0};
    platform::row_version lease_version;
    /// The new value of the owner's lease row.
    std::string lease_value;
    std::vector<transfer> transfers;
};

/// The release in `work`, which `state` has just started, if it does nothing
/// else. The map that it would write is dropped from `state`.
[[nodiscard]] std::optional<relayed_release>
take_relayable_release(key_owner& state, const platform::transaction& work);

/// Whether the owner owns all keys that it releases, by this map.
[[nodiscard]] bool is_valid(const relayed_release& release, const key_map& map);

} // namespace apricotstile::keys

#endif

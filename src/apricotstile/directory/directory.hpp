// The daemons that this daemon knows, with the newest entry of each.

#ifndef APRICOTSTILE_DIRECTORY_DIRECTORY_HPP
#define APRICOTSTILE_DIRECTORY_DIRECTORY_HPP

#include <apricotstile/directory/entry.hpp>

#include <map>
#include <vector>

namespace apricotstile::directory {

struct directory {
    std::map<host_id, member_entry> entries;
};

/// Whether `left` is a later entry than `right` of the same host.
[[nodiscard]] bool
is_newer(const member_entry& left, const member_entry& right);

/// Stores `update` if it is newer than the known entry of its host. Entries may
/// arrive in any order and repeatedly; departures are kept from all of them.
/// Returns whether the known entry has changed.
bool merge_entry(directory& known, const member_entry& update);

/// Entries of daemons whose local instance is a ready one of `service`, in
/// order of hosts.
[[nodiscard]] std::vector<const member_entry*>
ready_instances(const directory& known, const service_id& service);

} // namespace apricotstile::directory

#endif

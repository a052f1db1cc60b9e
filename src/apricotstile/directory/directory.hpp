// The daemons that this one knows of, by their newest entries.

#ifndef APRICOTSTILE_DIRECTORY_DIRECTORY_HPP
#define APRICOTSTILE_DIRECTORY_DIRECTORY_HPP

#include <apricotstile/directory/entry.hpp>

#include <map>
#include <vector>

namespace apricotstile::directory {

struct directory {
    std::map<host_id, entry> entries;
};

/// Whether `left` was told after `right` by the same host.
[[nodiscard]] bool is_newer(const entry& left, const entry& right);

/// Takes `told` unless a newer entry of its host is known. Any order and
/// repetition is harmless. Returns whether it was taken.
bool apply(directory& known, const entry& told);

/// Daemons beside a ready instance of `service`, by host.
[[nodiscard]] std::vector<const entry*>
ready_instances(const directory& known, const service_id& service);

} // namespace apricotstile::directory

#endif

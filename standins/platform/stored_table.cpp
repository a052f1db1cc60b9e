// Conditional commits and prefix reads.

#include <standins/platform/stored_table.hpp>

#include <algorithm>

namespace apricotstile::standins {

namespace {

platform::row_version
version_of(const stored_table& table, const platform::row_key& key) {
    const auto found = table.rows.find(key.value);
    const bool present = found != table.rows.end() && found->second.value;
    return present ? found->second.version : platform::row_version{};
}

platform::row_version
apply(stored_table& table, const platform::mutation& change) {
    stored_row& stored = table.rows[change.key.value];
    stored.version = next(stored.version);
    stored.value = change.value;
    return stored.version;
}

} // namespace

platform::commit_result
commit(stored_table& table, const platform::transaction& work) {
    const bool all_hold = std::all_of(
        work.conditions.begin(),
        work.conditions.end(),
        [&](const platform::condition& one) {
            return version_of(table, one.key) == one.version;
        }
    );
    if (!all_hold) {
        return {platform::commit_status::conflict, {}};
    }
    platform::commit_result result{platform::commit_status::committed, {}};
    for (const platform::mutation& change : work.mutations) {
        result.versions.push_back(apply(table, change));
    }
    return result;
}

std::vector<platform::row>
read_prefix(const stored_table& table, std::string_view prefix) {
    std::vector<platform::row> rows;
    auto found = table.rows.lower_bound(prefix);
    for (; found != table.rows.end(); ++found) {
        if (!found->first.starts_with(prefix)) {
            break;
        }
        if (found->second.value) {
            rows.push_back(
                {platform::row_key{found->first},
                 found->second.version,
                 *found->second.value}
            );
        }
    }
    return rows;
}

} // namespace apricotstile::standins

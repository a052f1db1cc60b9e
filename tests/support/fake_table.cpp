// The fake table's transactions and reads.

#include <tests/support/fake_table.hpp>

#include <algorithm>

namespace apricotstile::tests {

namespace {

bool holds(const fake_table& table, const platform::condition& wanted) {
    const auto found = table.rows.find(wanted.key.value);
    const bool present =
        found != table.rows.end() && found->second.value.has_value();
    return present ? found->second.version == wanted.version
                   : wanted.version == platform::row_version{};
}

/// The rows that `conditions` name, as they are.
std::vector<platform::row> rows_of(
    const fake_table& table, const std::vector<platform::condition>& conditions
) {
    std::vector<platform::row> result;
    for (const platform::condition& one : conditions) {
        const auto found = table.rows.find(one.key.value);
        if (found != table.rows.end() && found->second.value) {
            result.push_back(
                {one.key, found->second.version, *found->second.value}
            );
        }
    }
    return result;
}

platform::row_version lowest_version(platform::table_era era) {
    constexpr unsigned bits_within_era = 40;
    return {((era.value - platform::first_era.value) << bits_within_era) + 1};
}

platform::row_version
apply(fake_table& table, const platform::mutation& change) {
    fake_table::stored_row& stored = table.rows[change.key.value];
    stored.version = std::max(next(stored.version), lowest_version(table.era));
    stored.value = change.value;
    return stored.version;
}

} // namespace

void begin_new_era(fake_table& table) {
    table.rows.clear();
    table.era = next(table.era);
}

platform::commit_result
commit(fake_table& table, const platform::transaction& work) {
    if (table.down) {
        return {platform::commit_status::unavailable, {}, {}};
    }
    const bool all_hold = std::all_of(
        work.conditions.begin(),
        work.conditions.end(),
        [&](const platform::condition& one) {
            return holds(table, one);
        }
    );
    if (!all_hold) {
        if (table.loses_answers) {
            return {platform::commit_status::unknown, {}, {}};
        }
        return {
            platform::commit_status::conflict,
            {},
            rows_of(table, work.conditions)};
    }
    platform::commit_result result{platform::commit_status::committed, {}, {}};
    for (const platform::mutation& change : work.mutations) {
        result.versions.push_back(apply(table, change));
    }
    ++table.committed;
    if (table.loses_answers) {
        return {platform::commit_status::unknown, {}, {}};
    }
    return result;
}

platform::read_result read_prefix(fake_table& table, std::string_view prefix) {
    if (table.down) {
        return {};
    }
    ++table.reads;
    platform::read_result result{true, {}};
    auto found = table.rows.lower_bound(std::string{prefix});
    for (; found != table.rows.end(); ++found) {
        if (!found->first.starts_with(prefix)) {
            break;
        }
        if (found->second.value) {
            result.rows.push_back(
                {platform::row_key{found->first},
                 found->second.version,
                 *found->second.value}
            );
        }
    }
    return result;
}

} // namespace apricotstile::tests

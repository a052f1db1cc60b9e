// The platform's transactional table: rows with versions, and transactions that
// are conditional on versions.

#ifndef APRICOTSTILE_PLATFORM_TRANSACTION_HPP
#define APRICOTSTILE_PLATFORM_TRANSACTION_HPP

#include <apricotstile/core/strong_id.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace apricotstile::platform {

using row_key = strong_id<struct row_key_tag, std::string>;

/// Increases with each write of the row, also when the row is erased and
/// written again. Zero means that the row is absent.
using row_version = strong_id<struct row_version_tag, std::uint64_t>;

/// Counts how often the table was restored from an older copy, from one. No row
/// of an earlier era is seen in a later one, and versions of a later era are
/// higher than all of the earlier ones.
using table_era = strong_id<struct table_era_tag, std::uint64_t>;

inline constexpr table_era first_era{1};

/// A row as it was read.
struct row {
    row_key key;
    row_version version;
    std::string value;

    friend bool operator==(const row&, const row&) = default;
};

/// Holds if the row's current version equals `version`.
struct condition {
    row_key key;
    row_version version;
};

/// Sets the row's value, or erases the row if there is no `value`.
struct mutation {
    row_key key;
    std::optional<std::string> value;
};

/// Applied atomically if every condition holds, otherwise not at all.
struct transaction {
    std::vector<condition> conditions;
    std::vector<mutation> mutations;
};

enum class commit_status : std::uint8_t {
    committed,
    /// A condition did not hold; nothing was written.
    conflict,
    /// Not executed: the service wasn't reached or rejected the call.
    unavailable,
    /// The response was lost: the transaction may have been committed, or may
    /// still be until the service's deadline has passed. Reading the rows
    /// shows which.
    unknown
};

struct commit_result {
    commit_status status{commit_status::unavailable};
    /// With `committed`: the new version of each mutated row, in order.
    std::vector<row_version> versions;
    /// With `conflict`: the current rows that the conditions name, if the
    /// service returns them.
    std::vector<row> current;
};

/// Rows whose keys start with a prefix, in key order; empty if the service
/// didn't respond.
struct read_result {
    bool answered{false};
    std::vector<row> rows;
};

} // namespace apricotstile::platform

#endif

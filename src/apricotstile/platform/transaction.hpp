// The platform's transactional table as decisions see it: rows with versions
// and transactions that are conditional on versions.

#ifndef APRICOTSTILE_PLATFORM_TRANSACTION_HPP
#define APRICOTSTILE_PLATFORM_TRANSACTION_HPP

#include <apricotstile/core/strong_id.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace apricotstile::platform {

using row_key = strong_id<struct row_key_tag, std::string>;

/// Rises with each write of the row; zero stands for "the row is absent".
/// A row that is erased and written again goes on rising.
using row_version = strong_id<struct row_version_tag, std::uint64_t>;

/// A row as it was read.
struct row {
    row_key key;
    row_version version;
    std::string value;

    friend bool operator==(const row&, const row&) = default;
};

/// Holds when the row's present version is exactly `version`.
struct condition {
    row_key key;
    row_version version;
};

/// Sets the row's value, or erases the row when `value` is empty.
struct mutation {
    row_key key;
    std::optional<std::string> value;
};

/// Applied whole when every condition holds, else not at all.
struct transaction {
    std::vector<condition> conditions;
    std::vector<mutation> mutations;
};

enum class commit_status : std::uint8_t {
    committed,
    /// A condition did not hold; nothing was written.
    conflict,
    /// Certainly not executed: the service was not reached.
    unavailable,
    /// The answer was lost: it may have been committed, now or later, until
    /// the service's deadline has passed. Settle it by reading.
    unknown
};

struct commit_result {
    commit_status status{commit_status::unavailable};
    /// With `committed`: the new version of each mutated row, in order.
    std::vector<row_version> versions;
    /// With `conflict`, where the service tells it: the rows that the
    /// conditions name, as they are.
    std::vector<row> current;
};

/// Rows whose keys start with a prefix, in key order, or nothing when the
/// service didn't answer.
struct read_result {
    bool answered{false};
    std::vector<row> rows;
};

} // namespace apricotstile::platform

#endif

// The rows of the platform's table and its transactions.

#ifndef APRICOTSTILE_STANDINS_PLATFORM_STORED_TABLE_HPP
#define APRICOTSTILE_STANDINS_PLATFORM_STORED_TABLE_HPP

#include <apricotstile/platform/transaction.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotstile::standins {

struct stored_row {
    platform::row_version version;
    /// Empty for an erased row, whose version goes on counting.
    std::optional<std::string> value;
};

struct stored_table {
    std::map<std::string, stored_row, std::less<>> rows;
};

/// Applies `work` whole when every condition holds, else not at all.
[[nodiscard]] platform::commit_result
commit(stored_table& table, const platform::transaction& work);

/// The rows whose keys start with `prefix`, in key order.
[[nodiscard]] std::vector<platform::row>
read_prefix(const stored_table& table, std::string_view prefix);

} // namespace apricotstile::standins

#endif

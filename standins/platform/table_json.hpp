// Transactions, results and rows as the table service's JSON. Values are
// base64, since rows hold arbitrary bytes.

#ifndef APRICOTSTILE_STANDINS_PLATFORM_TABLE_JSON_HPP
#define APRICOTSTILE_STANDINS_PLATFORM_TABLE_JSON_HPP

#include <apricotstile/platform/transaction.hpp>

#include <string>
#include <vector>

namespace apricotstile::standins {

/// Throws std::invalid_argument, or an exception of the JSON library, when
/// `text` is not a transaction.
[[nodiscard]] platform::transaction parse_transaction(const std::string& text);

[[nodiscard]] std::string to_json(const platform::commit_result& result);
[[nodiscard]] std::string to_json(const std::vector<platform::row>& rows);

} // namespace apricotstile::standins

#endif

// A fake of the platform's table for tests: rows in memory, with outages and
// lost answers on demand. It runs on no clock; the test decides when the
// answer of a call is delivered.

#ifndef APRICOTSTILE_TESTS_SUPPORT_FAKE_TABLE_HPP
#define APRICOTSTILE_TESTS_SUPPORT_FAKE_TABLE_HPP

#include <apricotstile/platform/transaction.hpp>

#include <map>
#include <string>
#include <string_view>

namespace apricotstile::tests {

struct fake_table {
    struct stored_row {
        platform::row_version version;
        /// Empty for an erased row, whose version goes on counting.
        std::optional<std::string> value;
    };

    std::map<std::string, stored_row> rows;
    platform::table_era era{platform::first_era};
    /// While true, every call is refused without effect.
    bool down{false};
    /// While true, commits take effect but are answered `unknown`.
    bool loses_answers{false};
    std::uint64_t committed{0};
    std::uint64_t reads{0};
};

/// Applies `work` at once and returns what the caller is told.
[[nodiscard]] platform::commit_result
commit(fake_table& table, const platform::transaction& work);

/// The table comes back from an older copy. No row of the earlier era is seen
/// in the new one.
void begin_new_era(fake_table& table);

/// Reads the rows whose keys start with `prefix`, in key order.
[[nodiscard]] platform::read_result
read_prefix(fake_table& table, std::string_view prefix);

} // namespace apricotstile::tests

#endif

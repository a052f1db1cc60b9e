// Interface to the table that all daemons of a deployment share. Row keys have
// the form "table/part/key", where part names a partition and may be empty. All
// conditions and mutations of one transaction must be in the same partition.

#ifndef APRICOTSTILE_PLATFORM_SHARED_TABLE_HPP
#define APRICOTSTILE_PLATFORM_SHARED_TABLE_HPP

#include <apricotstile/platform/transaction.hpp>

#include <functional>
#include <string>
#include <vector>

namespace apricotstile::platform {

/// A row that was written, or erased if `erased` is set.
struct row_change {
    row changed;
    bool erased{false};
};

/// Rows of a followed table.
struct followed_rows {
    /// Whether `rows` are all rows of the table, so that a row which is missing
    /// doesn't exist, and not just the changes since the last delivery.
    bool is_complete{false};
    /// Nothing is missing up to this version.
    row_version version;
    /// Changes in the order in which they were made.
    std::vector<row_change> rows;
};

/// A new era of the table has begun; see `table_era`.
struct era_change {
    table_era era;
    /// Whether this daemon has just started and has seen no earlier era.
    bool is_initial{false};
};

class shared_table {
public:
    using era_handler = std::function<void(const era_change&)>;
    using commit_handler = std::function<void(const commit_result&)>;
    using read_handler = std::function<void(const read_result&)>;
    using change_handler = std::function<void(const followed_rows&)>;

    shared_table() = default;
    shared_table(const shared_table&) = delete;
    shared_table& operator=(const shared_table&) = delete;
    virtual ~shared_table() = default;

    virtual void submit(const transaction& work, commit_handler done) = 0;
    /// Reads all rows of a partition; `scope` is "table/part".
    virtual void read(const std::string& scope, read_handler done) = 0;
    /// Passes all rows of `table` to `on_change`, then each change, until this
    /// object is destroyed; after a loss of changes all rows again. All rows
    /// must be in the empty partition. A row may be delivered more than once.
    virtual void follow(const std::string& table, change_handler on_change) = 0;
    /// Sets a function that is called when another era than the first is seen
    /// for the first time. Reads and transactions that began before end as
    /// failed or unknown. Called in no other call of this interface.
    virtual void set_era_handler(era_handler on_era) = 0;
};

} // namespace apricotstile::platform

#endif

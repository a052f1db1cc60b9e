// The table that all daemons of a deployment share, as an interface. The keys
// of its rows are "table/part/key"; a part may be empty. All conditions and
// mutations of one transaction are of the same part.

#ifndef APRICOTSTILE_PLATFORM_SHARED_TABLE_HPP
#define APRICOTSTILE_PLATFORM_SHARED_TABLE_HPP

#include <apricotstile/platform/transaction.hpp>

#include <functional>
#include <string>
#include <vector>

namespace apricotstile::platform {

/// A row that was written, or erased where `erased`.
struct row_change {
    row changed;
    bool erased{false};
};

class shared_table {
public:
    using commit_handler = std::function<void(const commit_result&)>;
    using read_handler = std::function<void(const read_result&)>;
    using change_handler = std::function<void(const std::vector<row_change>&)>;

    shared_table() = default;
    shared_table(const shared_table&) = delete;
    shared_table& operator=(const shared_table&) = delete;
    virtual ~shared_table() = default;

    virtual void submit(const transaction& work, commit_handler done) = 0;
    /// Reads all rows of a part; `scope` is "table/part".
    virtual void read(const std::string& scope, read_handler done) = 0;
    /// Gives all rows of `table`, then each change, for as long as this lives.
    /// A row may be given again.
    virtual void follow(const std::string& table, change_handler on_change) = 0;
};

} // namespace apricotstile::platform

#endif

// Keeps the crash counts of refused requests in a row of the shared table, one
// for each host. It is written only when these counts change.

#ifndef APRICOTSTILE_ROUTER_QUARANTINE_RECORDER_HPP
#define APRICOTSTILE_ROUTER_QUARANTINE_RECORDER_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/platform/transaction.hpp>
#include <apricotstile/upstream/quarantine_records.hpp>

#include <vector>

namespace apricotstile::platform {
class shared_table;
}

namespace apricotstile::router {

/// Whether the row is one that a recorder writes. Such rows are read together
/// with the members' rows.
[[nodiscard]] bool is_quarantine_row(const platform::row_key& key);

class quarantine_recorder {
public:
    /// `table` must outlive the recorder.
    quarantine_recorder(platform::shared_table& table, host_id self);
    quarantine_recorder(const quarantine_recorder&) = delete;
    quarantine_recorder& operator=(const quarantine_recorder&) = delete;
    ~quarantine_recorder() = default;

    /// Writes `records` if they differ from what is recorded. To be called
    /// regularly, as a write may fail, and once the rows have been read.
    void update(const upstream::quarantine_records& records, instant now);
    /// Returns what a row holds, that of this host or another one.
    upstream::quarantine_records note_row(const platform::row& row);
    /// The table holds no rows of this daemon any more.
    void begin_era();

private:
    void note_rows(const std::vector<platform::row>& rows);
    void write(const upstream::quarantine_records& records);
    void handle_commit(
        const upstream::quarantine_records& records,
        const platform::commit_result& result
    );

    platform::shared_table& table;
    platform::row_key own_row;
    platform::row_version version;
    upstream::quarantine_records recorded;
    bool in_flight{false};
    instant retry_at;
};

} // namespace apricotstile::router

#endif

// Conditional writes of the row.

#include <apricotstile/router/quarantine_recorder.hpp>

#include <apricotstile/core/codec.hpp>
#include <apricotstile/log/logger.hpp>
#include <apricotstile/platform/shared_table.hpp>

#include <algorithm>
#include <string>
#include <string_view>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

constexpr auto rows_scope = "members/";
constexpr std::string_view row_prefix = "members//quarantine-";

/// Between a failed write and the next one.
constexpr duration retry_delay = 1s;

constexpr auto log_prefix = "router";

} // namespace

bool is_quarantine_row(const platform::row_key& key) {
    return key.value.starts_with(row_prefix);
}

quarantine_recorder::quarantine_recorder(
    platform::shared_table& table, host_id self
)
    : table(table), own_row{
                        std::string{row_prefix} + std::to_string(self.value)} {}

void quarantine_recorder::update(
    const upstream::quarantine_records& records, instant now
) {
    if (this->in_flight || now < this->retry_at ||
        upstream::same_counts(records, this->recorded)) {
        return;
    }
    this->retry_at = now + retry_delay;
    this->write(records);
}

void quarantine_recorder::write(const upstream::quarantine_records& records) {
    platform::transaction transaction;
    transaction.conditions.push_back({this->own_row, this->version});
    transaction.mutations.push_back({this->own_row, encode(records)});
    this->in_flight = true;
    this->table.submit(
        transaction,
        [this, records](const platform::commit_result& result) {
            this->in_flight = false;
            this->handle_commit(records, result);
        }
    );
}

void quarantine_recorder::handle_commit(
    const upstream::quarantine_records& records,
    const platform::commit_result& result
) {
    if (result.status == platform::commit_status::committed) {
        this->version = std::max(this->version, result.versions.front());
        this->recorded = records;
        this->retry_at = {};
        log::write(
            log::level::info,
            log_prefix,
            "Recorded the requests that crash instances.",
            {{"requests", std::to_string(records.size())}}
        );
        return;
    }
    log::write(
        log::level::warning,
        log_prefix,
        "Failed to record the requests that crash instances.",
        {{"requests", std::to_string(records.size())}}
    );
    this->note_rows(result.current);
    if (result.status == platform::commit_status::unavailable ||
        !result.current.empty()) {
        return;
    }
    // Whether it was written is not known.
    this->table.read(rows_scope, [this](const platform::read_result& read) {
        this->note_rows(read.rows);
    });
}

void quarantine_recorder::note_rows(const std::vector<platform::row>& rows) {
    for (const platform::row& one : rows) {
        if (one.key == this->own_row) {
            static_cast<void>(this->note_row(one));
        }
    }
}

upstream::quarantine_records
quarantine_recorder::note_row(const platform::row& row) {
    upstream::quarantine_records records;
    try {
        records = decode<upstream::quarantine_records>(row.value);
    } catch (const decode_error& error) {
        log::write(
            log::level::error,
            log_prefix,
            "Ignoring a malformed row of requests that crash instances.",
            {{"row", row.key.value}, {"reason", error.what()}}
        );
    }
    if (row.key == this->own_row && row.version > this->version) {
        this->version = row.version;
        this->recorded = records;
    }
    return records;
}

void quarantine_recorder::begin_era() {
    this->version = {};
    this->recorded.clear();
    this->retry_at = {};
}

} // namespace apricotstile::router

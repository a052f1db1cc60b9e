// Guards against refused requests that are forgotten, since their row couldn't
// be written, or was written by an earlier run.

#include <apricotstile/router/quarantine_recorder.hpp>

#include <apricotstile/core/codec.hpp>
#include <apricotstile/platform/shared_table.hpp>
#include <apricotstile/upstream/quarantine.hpp>
#include <tests/support/fake_table.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::router;
using namespace apricotstile::tests;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};
constexpr std::int64_t start_ms = 1'700'000'000'000;
const host_id own_host{7};

/// Answers each call before it returns.
struct immediate_table : platform::shared_table {
    void
    submit(const platform::transaction& work, commit_handler done) override {
        done(commit(this->rows, work));
    }

    void read(const std::string& scope, read_handler done) override {
        done(read_prefix(this->rows, scope));
    }

    void follow(const std::string&, change_handler) override {}

    void set_era_handler(era_handler) override {}

    fake_table rows;
};

upstream::quarantine
after_crashes(int count, host_id host = own_host, std::uint64_t id = 5) {
    upstream::quarantine state;
    state.self = {host, incarnation{1}};
    const upstream::request_identity identity{{id}, {id + 1}};
    for (int i = 0; i < count; ++i) {
        static_cast<void>(
            upstream::upstream_crashed(state, {{identity, {}}}, start)
        );
    }
    return state;
}

upstream::quarantine_records records_of(const upstream::quarantine& state) {
    return upstream::records_to_keep(state, start, start_ms);
}

/// All rows as a starting daemon reads them.
std::vector<platform::row> read_rows(immediate_table& table) {
    return read_prefix(table.rows, "members/").rows;
}

} // namespace

TEST_CASE(
    "requests are recorded once they have crashed enough upstreams",
    "[router][quarantine]"
) {
    immediate_table table;
    quarantine_recorder recorder{table, own_host};
    recorder.update(records_of(after_crashes(2)), start);
    CHECK(table.rows.committed == 0);
    recorder.update(records_of(after_crashes(3)), start);
    CHECK(table.rows.committed == 1);
    // Nothing has changed.
    recorder.update(records_of(after_crashes(3)), start + 10s);
    CHECK(table.rows.committed == 1);
    const auto rows = read_rows(table);
    REQUIRE(rows.size() == 1);
    CHECK(is_quarantine_row(rows.front().key));
}

TEST_CASE(
    "a write that fails is repeated until the table has the requests",
    "[router][quarantine]"
) {
    immediate_table table;
    quarantine_recorder recorder{table, own_host};
    const auto records = records_of(after_crashes(3));
    SECTION("the table is down") {
        table.rows.down = true;
        recorder.update(records, start);
        table.rows.down = false;
    }
    SECTION("the table's answer is lost") {
        table.rows.loses_answers = true;
        recorder.update(records, start);
        table.rows.loses_answers = false;
    }
    SECTION("an earlier run's write arrives late") {
        quarantine_recorder earlier{table, own_host};
        earlier.update(records_of(after_crashes(4)), start);
        recorder.update(records, start);
    }
    recorder.update(records, start + 2s);
    const auto rows = read_rows(table);
    REQUIRE(rows.size() == 1);
    CHECK(upstream::same_counts(
        decode<upstream::quarantine_records>(rows.front().value), records
    ));
}

TEST_CASE(
    "a later run restores the requests and doesn't write them again",
    "[router][quarantine]"
) {
    immediate_table table;
    quarantine_recorder earlier{table, own_host};
    earlier.update(records_of(after_crashes(3)), start);
    quarantine_recorder recorder{table, own_host};
    upstream::quarantine restored;
    restored.self = {own_host, incarnation{2}};
    for (const platform::row& row : read_rows(table)) {
        upstream::restore(
            restored, recorder.note_row(row), start + 1h, start_ms + 1000
        );
    }
    CHECK(
        upstream::decide(restored, {{5}, {6}}, start + 1h).action ==
        upstream::quarantine_action::refuse
    );
    recorder.update(
        upstream::records_to_keep(restored, start + 1h, start_ms + 1000),
        start + 1h
    );
    CHECK(table.rows.committed == 1);
}

TEST_CASE(
    "a recorded request expires by the time of day, wherever that was set",
    "[router][quarantine]"
) {
    const auto records = records_of(after_crashes(3));
    upstream::quarantine restored;
    const auto expiry_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            restored.policy.expiry
        )
            .count();
    const auto [since_ms, action] =
        GENERATE_REF(table<std::int64_t, upstream::quarantine_action>(
            {{expiry_ms + 1, upstream::quarantine_action::run},
             {-expiry_ms, upstream::quarantine_action::refuse},
             {1, upstream::quarantine_action::refuse}}
        ));
    upstream::restore(restored, records, start, start_ms + since_ms);
    CHECK(upstream::decide(restored, {{5}, {6}}, start).action == action);
}

TEST_CASE(
    "requests that crashed other hosts' upstreams only are recorded there",
    "[router][quarantine]"
) {
    upstream::quarantine state;
    state.self = {own_host, incarnation{1}};
    const upstream::quarantine other = after_crashes(3, host_id{8});
    for (const upstream::crash_report& report :
         upstream::report_all(other, start)) {
        upstream::merge(state, report, start);
    }
    CHECK(records_of(state).empty());
    CHECK_FALSE(records_of(other).empty());
}

TEST_CASE(
    "a row of another writer is ignored, whatever it holds",
    "[router][quarantine]"
) {
    immediate_table table;
    quarantine_recorder recorder{table, own_host};
    recorder.update(records_of(after_crashes(3)), start);
    platform::row odd = read_rows(table).front();
    const std::string valid = odd.value;
    for (std::size_t size = 0; size < valid.size(); ++size) {
        odd.value = valid.substr(0, size);
        CHECK(recorder.note_row(odd).empty());
    }
    // The number of requests is the first field.
    odd.value = valid;
    constexpr char huge = 0x7F;
    for (std::size_t at = 1; at <= sizeof(std::uint64_t); ++at) {
        odd.value[at] = huge;
    }
    CHECK(recorder.note_row(odd).empty());
}

// Guards against a region in which nobody reads the configuration, or all
// daemons do: readers that are lost, silent or refused by the store.

#include <apricotstile/routing/config_readers.hpp>

#include <catch2/catch.hpp>

#include <set>

using namespace apricotstile;
using namespace apricotstile::routing;
using namespace std::chrono_literals;

namespace {

constexpr instant start{1h};
constexpr std::size_t daemon_count = 99;

region_order order_of(std::uint64_t self) {
    std::vector<host_id> daemons;
    for (std::uint64_t host = 1; host <= daemon_count; ++host) {
        daemons.push_back(host_id{host});
    }
    return make_region_order(daemons, host_id{self});
}

/// The number of daemons that read at `now`, each with `notices` of the others.
std::size_t readers_at(
    std::vector<config_readers>& states,
    const std::map<host_id, reader_notice>& notices,
    instant now
) {
    std::size_t count = 0;
    for (std::uint64_t host = 1; host <= daemon_count; ++host) {
        states[host - 1].notices = notices;
        count += reads_config(states[host - 1], order_of(host), now) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("two daemons of a region read", "[routing][readers]") {
    std::vector<config_readers> states(daemon_count);
    const std::map<host_id, reader_notice> notices{
        {host_id{1}, {true, {1}, start}}, {host_id{2}, {true, {1}, start}}};
    CHECK(readers_at(states, notices, start) == 2);
    CHECK(readers_at(states, notices, start + 4s) == 2);
}

TEST_CASE(
    "daemons after silent readers read, one after the other",
    "[routing][readers]"
) {
    std::vector<config_readers> states(daemon_count);
    CHECK(readers_at(states, {}, start) == 2);
    CHECK(readers_at(states, {}, start + 1s) == 4);
    // The first of them have announced that they read.
    const std::map<host_id, reader_notice> notices{
        {host_id{3}, {true, {1}, start + 1s}},
        {host_id{4}, {true, {1}, start + 1s}}};
    CHECK(readers_at(states, notices, start + 2s) == 4);
}

TEST_CASE("a store that refuses all is asked by few", "[routing][readers]") {
    std::vector<config_readers> states(daemon_count);
    std::map<host_id, reader_notice> notices;
    for (instant now = start; now < start + 20s; now += 500ms) {
        for (std::uint64_t host = 1; host <= 6; ++host) {
            notices[host_id{host}] = {false, {1}, now};
        }
        CHECK(readers_at(states, notices, now) <= 6);
    }
}

TEST_CASE(
    "a daemon that has left the order is replaced at once", "[routing][readers]"
) {
    config_readers state;
    CHECK_FALSE(reads_config(
        state,
        make_region_order({host_id{1}, host_id{2}, host_id{3}}, host_id{3}),
        start
    ));
    CHECK(reads_config(
        state, make_region_order({host_id{2}, host_id{3}}, host_id{3}), start
    ));
}

TEST_CASE(
    "each daemon gets the configuration from one before it",
    "[routing][readers]"
) {
    const config_reader_policy policy;
    std::map<host_id, std::size_t> children;
    for (std::uint64_t host = 1; host <= daemon_count; ++host) {
        const auto source = config_source(policy, order_of(host));
        CHECK(source.has_value() == (host > policy.readers));
        if (source) {
            CHECK(*source < host_id{host});
            ++children[*source];
        }
    }
    for (const auto& [host, count] : children) {
        CHECK(count <= policy.fan_out);
    }
}

TEST_CASE(
    "the configuration is current while a reader says so", "[routing][readers]"
) {
    config_readers state;
    CHECK_FALSE(is_config_current(state, {1}, start));
    note_announcement(state, host_id{1}, {true, {1}, start});
    CHECK(is_config_current(state, {1}, start + 1s));
    CHECK_FALSE(is_config_current(state, {1}, start + 5s));
    note_announcement(state, host_id{1}, {true, {2}, start + 5s});
    CHECK_FALSE(is_config_current(state, {1}, start + 5s));
    note_announcement(state, host_id{1}, {false, {1}, start + 6s});
    CHECK_FALSE(is_config_current(state, {1}, start + 6s));
}

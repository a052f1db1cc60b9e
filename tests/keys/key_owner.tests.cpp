// Guards against grants that the key map or the lease doesn't allow: grants
// that outlast the lease, that are based on an outdated map, or that overlap a
// release. Also tests the promises of guardians.

#include <apricotstile/core/codec.hpp>
#include <apricotstile/keys/key_lease_guardian.hpp>
#include <apricotstile/keys/key_owner.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::keys;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};
const directory::instance_run instance{"i-1", 100};
const service_id registry{"registry"};

platform::row make_map_row(host_id owner, std::uint64_t version) {
    key_map map;
    apply_transfers(map, {{{0, 999}, owner, instance, "warm"}});
    return {map_row_key(registry), {version}, encode(map)};
}

heartbeat make_heartbeat(std::uint64_t sequence) {
    heartbeat beat;
    beat.service = registry;
    beat.instance = instance;
    beat.sequence = sequence;
    beat.slots = 14;
    return beat;
}

/// A daemon that owns keys 0 to 999 and has a valid lease.
key_owner leased_owner() {
    key_owner state = make_key_owner({}, host_id{1}, incarnation{5}, registry);
    apply_rows(state, {make_map_row(host_id{1}, 3)}, start);
    static_cast<void>(handle_heartbeat(state, make_heartbeat(1), start));
    const auto work = start_next_transaction(state, {}, {}, start);
    REQUIRE(work);
    handle_commit_result(
        state, {platform::commit_status::committed, {{4}}, {}}, start
    );
    return state;
}

} // namespace

TEST_CASE("an owner with a valid lease grants its keys", "[keys][keeper]") {
    key_owner state = leased_owner();
    const heartbeat_answer answer =
        handle_heartbeat(state, make_heartbeat(2), start + 100ms);
    REQUIRE(answer.grants);
    REQUIRE(answer.keys.size() == 1);
    CHECK(answer.keys.front().keys == key_range{0, 999});
    CHECK(answer.keys.front().handover == "warm");
    CHECK(may_dispatch(state, 999, start + 200ms));
    CHECK_FALSE(may_dispatch(state, 1000, start + 200ms));
    CHECK_FALSE(may_dispatch(state, 999, start + 20s));
}

TEST_CASE(
    "a grant expires before the lease on a slow clock", "[keys][keeper]"
) {
    key_owner state = leased_owner();
    const instant late = start + 18s;
    const heartbeat_answer answer =
        handle_heartbeat(state, make_heartbeat(2), late);
    REQUIRE(answer.grants);
    CHECK(late + scaled(answer.grant_duration, 1.03) < lease_end(state));
    CHECK_FALSE(handle_heartbeat(state, make_heartbeat(3), start + 30s).grants);
}

TEST_CASE(
    "a lease is acquired only at a version after which the map was read",
    "[keys][keeper]"
) {
    key_owner state = make_key_owner({}, host_id{1}, incarnation{5}, registry);
    apply_rows(state, {make_map_row(host_id{1}, 3)}, start);
    static_cast<void>(handle_heartbeat(state, make_heartbeat(1), start));
    const auto work = start_next_transaction(state, {}, {}, start);
    REQUIRE(work);
    REQUIRE(work->conditions.size() == 1);
    CHECK(work->conditions[0].key == lease_row_key(registry, host_id{1}));
    CHECK(work->conditions[0].version == platform::row_version{});

    // Another daemon has revoked the lease and moved the keys meanwhile.
    key_owner other = make_key_owner({}, host_id{1}, incarnation{6}, registry);
    apply_rows(other, {make_map_row(host_id{1}, 3)}, start);
    static_cast<void>(handle_heartbeat(other, make_heartbeat(1), start));
    const auto written = start_next_transaction(other, {}, {}, start);
    REQUIRE(written);
    const platform::row row{
        lease_row_key(registry, host_id{1}), {8}, *written->mutations[0].value};
    handle_commit_result(
        state, {platform::commit_status::conflict, {}, {row}}, start
    );
    CHECK(state.needs_read);
    CHECK_FALSE(start_next_transaction(state, {}, {}, start + 1s));
    apply_rows(state, {row, make_map_row(host_id{2}, 8)}, start + 1s);
    const auto again = start_next_transaction(state, {}, {}, start + 1s);
    REQUIRE(again);
    CHECK(again->conditions[0].version == platform::row_version{8});
    CHECK(kept_ranges(state).empty());
}

TEST_CASE(
    "a lease row of another writer is left out, and the others are applied",
    "[keys][rows]"
) {
    // Guards against a process that ends, or learns of no lease, because of one
    // row.
    key_owner state = leased_owner();
    const platform::row unreadable = GENERATE(
        platform::row{{"leases/registry/abc"}, {9}, "x"},
        platform::row{{"leases/registry/"}, {9}, ""},
        platform::row{{"leases/registry/-2"}, {9}, "x"},
        platform::row{{"leases/registry/7x"}, {9}, "x"},
        platform::row{{"leases/registry/99999999999999999999999"}, {9}, "x"},
        platform::row{{"leases/registry/3"}, {9}, "\xff\xff"},
        platform::row{{"leases/registry/3"}, {9}, ""}
    );
    key_owner other = make_key_owner({}, host_id{2}, incarnation{6}, registry);
    apply_rows(other, {make_map_row(host_id{2}, 3)}, start);
    static_cast<void>(handle_heartbeat(other, make_heartbeat(1), start));
    const auto written = start_next_transaction(other, {}, {}, start);
    REQUIRE(written);
    const platform::row sound{
        lease_row_key(registry, host_id{2}), {8}, *written->mutations[0].value};
    SECTION("read") {
        apply_lease_rows(state, {unreadable, sound, unreadable}, start + 1s);
        CHECK(state.unreadable_rows.size() == 2);
    }
    SECTION("in the result of a transaction") {
        REQUIRE(start_next_transaction(state, {}, {}, start + 15s));
        handle_commit_result(
            state,
            {platform::commit_status::conflict, {}, {unreadable, sound}},
            start + 15s
        );
        CHECK(state.unreadable_rows.size() == 1);
    }
    CHECK(state.unreadable_rows.front() == unreadable.key);
    CHECK(state.watched_leases.at(host_id{2}).version == sound.version);
}

TEST_CASE(
    "owners that acquire their leases at the same time write no common row",
    "[keys][keeper][scale]"
) {
    key_map map;
    constexpr std::uint64_t owners = 300;
    for (std::uint64_t owner = 1; owner <= owners; ++owner) {
        const auto first = static_cast<key_number>(owner * 100);
        apply_transfers(
            map, {{{first, first + 99}, host_id{owner}, instance, {}}}
        );
    }
    const platform::row map_row{map_row_key(registry), {3}, encode(map)};
    for (std::uint64_t owner = 1; owner <= owners; ++owner) {
        key_owner state =
            make_key_owner({}, host_id{owner}, incarnation{5}, registry);
        apply_rows(state, {map_row}, start);
        static_cast<void>(handle_heartbeat(state, make_heartbeat(1), start));
        const auto work = start_next_transaction(state, {}, {}, start);
        REQUIRE(work);
        REQUIRE(work->mutations.size() == 1);
        CHECK(
            work->mutations[0].key == lease_row_key(registry, host_id{owner})
        );
    }
}

TEST_CASE(
    "a release writes the owner's lease row, so that a later run sees it",
    "[keys][keeper][move]"
) {
    key_owner state = leased_owner();
    start_release(state, {500, 999}, host_id{2});
    state.releases.front().is_released = true;
    const auto work = start_next_transaction(
        state, {}, {{host_id{2}, {"i-2", 1}}}, start + 1s
    );
    REQUIRE(work);
    const platform::row_key own_row = lease_row_key(registry, host_id{1});
    CHECK(work->conditions[0].key == own_row);
    CHECK(work->conditions[0].version == platform::row_version{4});
    CHECK(work->mutations[0].key == own_row);
    CHECK(work->mutations.back().key == map_row_key(registry));
}

TEST_CASE("a restarted instance gets new fencing tokens", "[keys][keeper]") {
    key_owner state = leased_owner();
    heartbeat beat = make_heartbeat(1);
    beat.instance = {"i-1", 200};
    const heartbeat_answer answer = handle_heartbeat(state, beat, start + 1s);
    CHECK(answer.keys.empty());
    const auto work = start_next_transaction(state, {}, {}, start + 1s);
    REQUIRE(work);
    const key_map changed = decode_map(*work->mutations.back().value);
    CHECK(changed.ranges.front().instance == beat.instance);
    CHECK(changed.ranges.front().fence > fencing_token{1});
    CHECK(changed.ranges.front().handover.empty());
}

namespace {

const directory::instance_run next_instance{"i-2", 200};

/// When a grant of the answer to a heartbeat at `granted` has expired on a
/// clock that is 2% slow, which is the slowest that an instance may have.
instant slowest_expiry(const heartbeat_answer& answer, instant granted) {
    return granted + scaled(answer.grant_duration, 1.0 / 0.98);
}

heartbeat
make_heartbeat_of(const directory::instance_run& run, std::uint64_t sequence) {
    heartbeat beat = make_heartbeat(sequence);
    beat.instance = run;
    return beat;
}

/// Sends heartbeats of the next instance, until keys are transferred to
/// `receiver`. Returns when that was.
instant transfer_time(
    key_owner& state,
    instant from,
    host_id receiver,
    const current_instances& instances
) {
    std::uint64_t sequence = 1;
    for (instant now = from; now < from + 10s; now += 50ms) {
        static_cast<void>(handle_heartbeat(
            state, make_heartbeat_of(next_instance, ++sequence), now
        ));
        const auto work = start_next_transaction(state, {}, instances, now);
        if (!work) {
            continue;
        }
        if (work->mutations.back().key == map_row_key(registry)) {
            const key_map changed = decode_map(*work->mutations.back().value);
            if (changed.ranges.front().owner == receiver &&
                changed.ranges.front().instance != instance) {
                return now;
            }
        }
        handle_commit_result(
            state, {platform::commit_status::unavailable, {}, {}}, now
        );
    }
    return instant::max();
}

} // namespace

TEST_CASE(
    "an instance gets the keys of the one before it only once its last grant "
    "has expired",
    "[keys][keeper][replaced]"
) {
    // Guards against two holders of a key where the earlier instance is still
    // up.
    key_owner state = leased_owner();
    const instant granted = start + 100ms;
    const heartbeat_answer answer =
        handle_heartbeat(state, make_heartbeat(2), granted);
    REQUIRE(answer.grants);
    const heartbeat_answer next = handle_heartbeat(
        state, make_heartbeat_of(next_instance, 1), granted + 200ms
    );
    CHECK(next.keys.empty());
    const instant moved = transfer_time(state, granted + 250ms, host_id{1}, {});
    CHECK(moved >= slowest_expiry(answer, granted));
    CHECK(moved <= slowest_expiry(answer, granted) + 300ms);
}

TEST_CASE(
    "keys of an earlier instance go to another member only once its last grant "
    "has expired",
    "[keys][keeper][replaced]"
) {
    // Guards against two holders of a key when the instance that replaces
    // another one leaves at once.
    key_owner state = leased_owner();
    const instant granted = start + 100ms;
    const heartbeat_answer answer =
        handle_heartbeat(state, make_heartbeat(2), granted);
    REQUIRE(answer.grants);
    start_release(state, {0, 999}, host_id{2});
    const instant moved = transfer_time(
        state, granted + 200ms, host_id{2}, {{host_id{2}, {"i-3", 1}}}
    );
    CHECK(moved >= slowest_expiry(answer, granted));
    CHECK(moved <= slowest_expiry(answer, granted) + 300ms);
}

TEST_CASE(
    "keys that an instance has released don't wait for the end of its grants",
    "[keys][keeper][replaced]"
) {
    key_owner state = leased_owner();
    static_cast<void>(handle_heartbeat(state, make_heartbeat(2), start + 100ms)
    );
    start_release(state, {0, 999}, host_id{2});
    static_cast<void>(handle_heartbeat(state, make_heartbeat(3), start + 200ms)
    );
    heartbeat released = make_heartbeat(4);
    released.released = {{{0, 999}, "given"}};
    static_cast<void>(handle_heartbeat(state, released, start + 300ms));
    const instant moved = transfer_time(
        state, start + 400ms, host_id{2}, {{host_id{2}, {"i-3", 1}}}
    );
    CHECK(moved == start + 400ms);
}

TEST_CASE(
    "keys are transferred only after their holder has released them",
    "[keys][keeper][move]"
) {
    key_owner state = leased_owner();
    static_cast<void>(handle_heartbeat(state, make_heartbeat(2), start + 100ms)
    );
    start_release(state, {500, 999}, host_id{2});
    const current_instances instances{{host_id{2}, {"i-2", 1}}};
    CHECK(may_dispatch(state, 700, start + 200ms));

    heartbeat beat = make_heartbeat(3);
    beat.holds = {{{0, 999}, {1}}};
    const heartbeat_answer answer = handle_heartbeat(state, beat, start + 1s);
    REQUIRE(answer.keys.size() == 1);
    CHECK(answer.keys.front().keys == key_range{0, 499});
    CHECK_FALSE(may_dispatch(state, 700, start + 1s));
    CHECK_FALSE(start_next_transaction(state, {}, instances, start + 1s));

    beat = make_heartbeat(4);
    beat.holds = {{{0, 499}, {1}}};
    beat.released = {{{500, 999}, "given"}};
    static_cast<void>(handle_heartbeat(state, beat, start + 1100ms));
    const auto work =
        start_next_transaction(state, {}, instances, start + 1100ms);
    REQUIRE(work);
    const key_map changed = decode_map(*work->mutations.back().value);
    const owned_range* const moved = find_owned_range(changed, 500);
    REQUIRE(moved != nullptr);
    CHECK(moved->owner == host_id{2});
    CHECK(moved->handover == "given");
    CHECK(moved->fence > find_owned_range(changed, 0)->fence);
}

TEST_CASE("a guardian keeps its promises and consents", "[keys][guardian]") {
    key_lease_guardian state;
    state.started = start - 1h;
    state.run = incarnation{9};
    const host_id holder{1};
    const incarnation run{9};
    REQUIRE(
        promise(state, holder, {4}, run, start) == promise_result::promised
    );
    CHECK_FALSE(consent_to_revocation(state, holder, {4}, start + 3s));
    CHECK(consent_to_revocation(state, holder, {4}, start + 4s));
    CHECK(
        promise(state, holder, {4}, run, start + 5s) ==
        promise_result::lease_revoked
    );
    CHECK(
        promise(state, holder, {5}, run, start + 5s) == promise_result::promised
    );
    CHECK(
        promise(state, holder, {5}, incarnation{8}, start + 5s) ==
        promise_result::wrong_incarnation
    );
}

TEST_CASE("a guardian that has just started consents to nothing", "[keys]") {
    key_lease_guardian state;
    state.started = start;
    CHECK_FALSE(consent_to_revocation(state, host_id{1}, {4}, start + 3s));
    CHECK(consent_to_revocation(state, host_id{1}, {4}, start + 4s));
}

TEST_CASE("promise and consent quorums share a guardian", "[keys][guardian]") {
    for (std::size_t count = 1; count < 12; ++count) {
        CHECK(promise_quorum(count) + consent_quorum(count) > count);
        CHECK(promise_quorum(count) >= 1);
        CHECK(consent_quorum(count) <= count);
    }
}

TEST_CASE(
    "only releases that the instance hasn't been told of are cancelled",
    "[keys][keeper][move]"
) {
    key_owner state = leased_owner();
    start_release(state, {0, 499}, host_id{2});
    static_cast<void>(handle_heartbeat(state, make_heartbeat(2), start + 100ms)
    );
    start_release(state, {500, 999}, host_id{2});
    CHECK(cancel_releases(state) == 1);
    REQUIRE(state.releases.size() == 1);
    CHECK(state.releases.front().keys == key_range{0, 499});
    CHECK(kept_ranges(state).front().keys == key_range{500, 999});
}

// Guards against transactions and rows that grow with the number of owners
// beyond the table's limits, and against releases of keys that their owner
// doesn't own.

#include <apricotstile/core/codec.hpp>
#include <apricotstile/keys/key_owner.hpp>
#include <apricotstile/keys/relayed_release.hpp>
#include <apricotstile/keys/takeover.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::keys;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};
const service_id registry{"registry"};
constexpr std::uint64_t owner_count = 300;
/// Limits of the platform's table.
constexpr std::size_t max_entries = 100;
constexpr std::size_t max_row_bytes = 65536;

directory::instance_run instance_of(std::uint64_t owner) {
    return {"i-0123456789-" + std::to_string(owner), 1};
}

key_range range_of(std::uint64_t owner) {
    constexpr key_number size = 200;
    const auto first = static_cast<key_number>((owner - 1) * size);
    return {first, first + size - 1};
}

platform::row map_row(std::uint64_t version) {
    key_map map;
    for (std::uint64_t owner = 1; owner <= owner_count; ++owner) {
        apply_transfers(
            map, {{range_of(owner), host_id{owner}, instance_of(owner), {}}}
        );
    }
    return {map_row_key(registry), {version}, encode(map)};
}

/// An owner with a lease at row version 4.
key_owner owner(std::uint64_t host) {
    key_owner state =
        make_key_owner({}, host_id{host}, incarnation{5}, registry);
    apply_rows(state, {map_row(3)}, start);
    heartbeat beat;
    beat.service = registry;
    beat.instance = instance_of(host);
    static_cast<void>(handle_heartbeat(state, beat, start));
    REQUIRE(start_next_transaction(state, {}, {}, start));
    handle_commit_result(
        state, {platform::commit_status::committed, {{4}}, {}}, start
    );
    return state;
}

current_instances all_instances() {
    current_instances result;
    for (std::uint64_t host = 1; host <= owner_count; ++host) {
        result.emplace(host_id{host}, instance_of(host));
    }
    return result;
}

relayed_release release_of(std::uint64_t host, key_owner& state) {
    start_release(state, range_of(host), host_id{1});
    state.releases.front().is_released = true;
    const auto work =
        start_next_transaction(state, {}, all_instances(), start + 1s);
    REQUIRE(work);
    const auto release = take_relayable_release(state, *work);
    REQUIRE(release);
    return *release;
}

} // namespace

TEST_CASE(
    "a transaction with the releases of other owners stays within the table's "
    "limits",
    "[keys][relay][scale]"
) {
    ownership_changes wanted;
    for (std::uint64_t host = 2; host <= 41; ++host) {
        key_owner state = owner(host);
        wanted.relayed.push_back(release_of(host, state));
    }
    key_owner writer = owner(1);
    const auto work =
        start_next_transaction(writer, wanted, all_instances(), start + 1s);
    REQUIRE(work);
    CHECK(work->conditions.size() + work->mutations.size() <= max_entries);
    CHECK(work->mutations.back().key == map_row_key(registry));
    CHECK(work->mutations.back().value->size() < max_row_bytes);
    const key_map changed = decode_map(*work->mutations.back().value);
    for (std::uint64_t host = 2; host <= 41; ++host) {
        CHECK(
            find_owned_range(changed, range_of(host).first)->owner == host_id{1}
        );
    }
}

TEST_CASE(
    "a takeover from many owners stays within the table's limits",
    "[keys][relay][scale]"
) {
    key_owner state = owner(1);
    for (std::uint64_t host = 2; host <= owner_count; ++host) {
        watched_lease& lease = state.watched_leases[host_id{host}];
        lease.version = {4};
        lease.guardians = {{host_id{1}, incarnation{5}}};
        lease.consented = {host_id{1}};
    }
    membership_view view;
    view.members = {{host_id{1}, instance_of(1)}};
    view.members_unchanged_since = start;
    const ownership_changes wanted = plan_takeover(state, {}, view, start + 5s);
    CHECK_FALSE(wanted.revoked_owners.empty());
    const auto work =
        start_next_transaction(state, wanted, all_instances(), start + 5s);
    REQUIRE(work);
    CHECK(work->conditions.size() + work->mutations.size() <= max_entries);
}

TEST_CASE(
    "a map of many moved ranges fits into a row", "[keys][relay][scale]"
) {
    key_map map = decode_map(map_row(3).value);
    for (std::uint64_t step = 0; step < 5000; ++step) {
        const std::uint64_t host = 1 + step * 7 % owner_count;
        const auto first = static_cast<key_number>(step * 13 % 60000);
        if (may_split_ranges(map)) {
            apply_transfers(
                map,
                {{{first, first + 5},
                  host_id{host},
                  instance_of(host),
                  "0123456789abcdef"}}
            );
        }
    }
    CHECK_FALSE(may_split_ranges(map));
    CHECK(encode(map).size() < max_row_bytes);
}

TEST_CASE(
    "merged ranges have a token that no other instance has had", "[keys][relay]"
) {
    key_map map;
    apply_transfers(map, {{{0, 65535}, host_id{1}, instance_of(1), {}}});
    // Every second range goes to another owner and comes back.
    for (key_number first = 0; first < 65536; first += 100) {
        apply_transfers(
            map,
            {{{first, std::min(first + 49, key_count - 1)},
              host_id{2},
              instance_of(2),
              {}}}
        );
    }
    const fencing_token highest_of_other = map.last_fence;
    for (key_number first = 0; first < 65536; first += 100) {
        apply_transfers(
            map,
            {{{first, std::min(first + 49, key_count - 1)},
              host_id{1},
              instance_of(1),
              "warm"}}
        );
    }
    CHECK(map.ranges.size() <= max_separate_ranges);
    CHECK(owned_key_count(map, host_id{1}) == key_count);
    CHECK(unowned_ranges(map).empty());
    for (const owned_range& one : map.ranges) {
        if (size_of(one.keys) > 50) {
            CHECK(one.fence > highest_of_other);
        }
    }
}

TEST_CASE(
    "a release of keys that the owner doesn't own isn't valid", "[keys][relay]"
) {
    key_owner state = owner(2);
    relayed_release release = release_of(2, state);
    const key_map map = decode_map(map_row(3).value);
    CHECK(is_valid(release, map));
    release.transfers.front().keys.last += 1;
    CHECK_FALSE(is_valid(release, map));
}

TEST_CASE(
    "a relayed release that is committed renews the owner's lease, and the map "
    "follows from the change",
    "[keys][relay]"
) {
    key_owner state = owner(2);
    const relayed_release release = release_of(2, state);
    CHECK(release.lease_version == platform::row_version{4});
    CHECK_FALSE(handle_commit_result(
        state, {platform::commit_status::committed, {{9}}, {}}, start + 1s
    ));
    CHECK(state.lease_version == platform::row_version{9});
    CHECK(state.map_version == platform::row_version{3});
    CHECK_FALSE(state.releases.empty());
    CHECK(
        apply_map_change(state, {registry, {3}, {9}, release.transfers}) ==
        change_result::applied
    );
    CHECK(state.releases.empty());
    CHECK(owned_key_count(state.map, host_id{2}) == 0);
}

TEST_CASE(
    "a committed release without the rows' versions is settled by a read",
    "[keys][relay]"
) {
    key_owner state = owner(2);
    static_cast<void>(release_of(2, state));
    CHECK_FALSE(handle_commit_result(
        state, {platform::commit_status::committed, {}, {}}, start + 1s
    ));
    CHECK(state.needs_read);
    CHECK(state.lease_version == platform::row_version{4});
    CHECK_FALSE(state.releases.empty());
}

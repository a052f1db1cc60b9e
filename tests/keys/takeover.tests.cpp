// Guards against keys that are taken from owners with a valid lease, that stay
// with failed, leaving or slow instances, or that new members don't receive.

#include <apricotstile/keys/takeover.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::keys;
using namespace std::chrono_literals;

namespace {

constexpr instant start{24h};

membership_view view_of(std::size_t member_count) {
    membership_view view;
    for (std::uint64_t i = 1; i <= member_count; ++i) {
        view.members.push_back({host_id{i}, {"i", 1}, 0});
    }
    view.members_unchanged_since = start;
    return view;
}

key_owner first_of_owners(std::size_t count) {
    key_owner state =
        make_key_owner({}, host_id{1}, incarnation{1}, {"registry"});
    state.rows_known = true;
    const auto ranges = even_split(count);
    std::vector<transfer> transfers;
    for (std::size_t i = 0; i < count; ++i) {
        transfers.push_back({ranges[i], host_id{i + 1}, {"i", 1}, ""});
    }
    apply_transfers(state.map, transfers);
    return state;
}

} // namespace

TEST_CASE("keys are assigned once members are stable", "[keys][takeover]") {
    key_owner state =
        make_key_owner({}, host_id{1}, incarnation{1}, {"registry"});
    state.rows_known = true;
    const membership_view view = view_of(3);
    CHECK(plan_takeover(state, {}, view, start + 100ms).transfers.empty());
    CHECK(plan_takeover(state, {}, view, start + 1s).transfers.size() == 3);
}

TEST_CASE("a new member gets a part from each owner", "[keys][takeover]") {
    const key_owner state = first_of_owners(3);
    const auto next = plan_newcomer_move(state, {}, view_of(4));
    REQUIRE(next);
    CHECK(next->target == host_id{4});
    CHECK(size_of(next->keys) == key_count / 3 / 4);
}

TEST_CASE("hot keys are found by their load", "[keys][takeover]") {
    const key_owner state = first_of_owners(3);
    key_load load;
    for (int step = 0; step < 40; ++step) {
        for (key_number key = 100; key < 120; ++key) {
            add_key_work(load, key, 500ms);
        }
        decay_load(load);
    }
    CHECK(kept_load(state, load) == Approx(20).epsilon(0.01));
    const auto keys = find_keys_to_move(state, load, 5);
    REQUIRE(keys);
    CHECK(size_of(*keys) >= 4);
    CHECK(size_of(*keys) <= 6);
    CHECK(contains({100, 119}, keys->first));
}

TEST_CASE(
    "a slow instance finds a much faster one with spare capacity",
    "[keys][takeover]"
) {
    const key_owner state = first_of_owners(3);
    membership_view view = view_of(3);
    view.members[0].mean_service_time = 300ms;
    view.members[1].mean_service_time = 250ms;
    view.members[2].mean_service_time = 100ms;
    CHECK(find_much_faster_member(state, {}, view) == host_id{3});
    view.members[2].requests_per_slot = 0.7;
    CHECK_FALSE(find_much_faster_member(state, {}, view));
    view.members[2].requests_per_slot = 0;
    view.members[0].mean_service_time = 140ms;
    CHECK_FALSE(find_much_faster_member(state, {}, view));
}

TEST_CASE("all keys of a leaving instance get new owners", "[keys][takeover]") {
    const key_owner state = first_of_owners(3);
    std::uint64_t moved = 0;
    for (const key_move& one : plan_departure(state, view_of(3))) {
        CHECK(one.target != host_id{1});
        moved += size_of(one.keys);
    }
    CHECK(moved == owned_key_count(state.map, host_id{1}));
}

TEST_CASE("only a consent quorum revokes a lease", "[keys][takeover]") {
    key_owner state = first_of_owners(3);
    state.watched_leases[host_id{2}] = {
        {7}, start, {{{1}, {1}}, {{3}, {1}}, {{4}, {1}}}, {}};
    const membership_view view = view_of(3);
    handle_consent(state, host_id{3}, host_id{2}, {7});
    CHECK(plan_takeover(state, {}, view, start + 1s).revoked_owners.empty());
    handle_consent(state, host_id{4}, host_id{2}, {6});
    CHECK(plan_takeover(state, {}, view, start + 1s).revoked_owners.empty());
    handle_consent(state, host_id{4}, host_id{2}, {7});
    const ownership_changes changes =
        plan_takeover(state, {}, view, start + 1s);
    REQUIRE(changes.revoked_owners == std::vector<host_id>{host_id{2}});
    for (const transfer& one : changes.transfers) {
        CHECK(one.owner != host_id{2});
    }
}

TEST_CASE("leases don't expire while they can't be read", "[keys][takeover]") {
    key_owner state = first_of_owners(2);
    state.watched_leases[host_id{2}] = {{7}, start, {}, {}};
    state.leases_read_at = start + 1s;
    CHECK(
        plan_takeover(state, {}, view_of(2), start + 60s).revoked_owners.empty()
    );
    state.leases_read_at = start + 59s;
    CHECK(
        plan_takeover(state, {}, view_of(2), start + 60s)
            .revoked_owners.size() == 1
    );
}

TEST_CASE("an instance that fails alone is an outlier", "[keys]") {
    const key_owner state = first_of_owners(4);
    membership_view view = view_of(4);
    CHECK_FALSE(is_failure_outlier(state, {}, view));
    view.members[0].failure_ratio = 0.6;
    CHECK(is_failure_outlier(state, {}, view));
    view.members[1].failure_ratio = 0.5;
    CHECK(is_failure_outlier(state, {}, view));
    // With so many failing, a shared dependency is down; moves wouldn't help.
    view.members[2].failure_ratio = 0.5;
    CHECK_FALSE(is_failure_outlier(state, {}, view));
}

TEST_CASE("a failing instance gets no keys back", "[keys][takeover]") {
    const key_owner state = first_of_owners(3);
    membership_view view = view_of(4);
    view.members[3].failure_ratio = 0.4;
    CHECK_FALSE(plan_newcomer_move(state, {}, view));
    view.members[3].failure_ratio = 0.05;
    CHECK(plan_newcomer_move(state, {}, view));
}

TEST_CASE(
    "an instance that limits its requests gets no keys for having few",
    "[keys][takeover][limit]"
) {
    const key_owner state = first_of_owners(3);
    membership_view view = view_of(4);
    view.members[3].limited = true;
    CHECK_FALSE(plan_newcomer_move(state, {}, view));
    view.members[3].limited = false;
    CHECK(plan_newcomer_move(state, {}, view));
}

TEST_CASE(
    "one of two members gets keys back although the other one has no range "
    "larger than half of them",
    "[keys][takeover][evacuation]"
) {
    key_owner state =
        make_key_owner({}, host_id{1}, incarnation{1}, {"registry"});
    state.rows_known = true;
    constexpr key_number quarter = key_count / 4;
    apply_transfers(
        state.map,
        {{{0, quarter - 1}, host_id{1}, {"i", 1}, ""},
         {{quarter, 2 * quarter - 1}, host_id{1}, {"i", 1}, ""},
         {{2 * quarter, key_count - 1}, host_id{1}, {"i", 1}, ""}}
    );
    CHECK_FALSE(plan_newcomer_move(state, {}, view_of(2)));
    takeover_policy policy;
    policy.moves_whole_ranges = true;
    const auto next = plan_newcomer_move(state, policy, view_of(2));
    REQUIRE(next);
    CHECK(next->target == host_id{2});
    CHECK(next->keys == key_range{2 * quarter, key_count - 1});
    // Its only range isn't moved.
    apply_transfers(
        state.map, {{{0, 2 * quarter - 1}, host_id{2}, {"i", 1}, ""}}
    );
    CHECK_FALSE(plan_newcomer_move(state, policy, view_of(2)));
}

TEST_CASE(
    "a cold instance gets no keys from a leaving one while another is warm",
    "[keys][takeover][cold]"
) {
    key_owner state = first_of_owners(3);
    membership_view view = view_of(3);
    view.members[1].cold = true;
    for (const key_move& one : plan_departure(state, view)) {
        CHECK(one.target == host_id{3});
    }
    state.releases.push_back({});
    state.releases.back().keys = {0, 9};
    state.releases.back().target = host_id{4};
    retarget_releases(state, view);
    CHECK(state.releases.back().target == host_id{3});
    view.members[2].cold = true;
    // Somebody has to serve them.
    CHECK_FALSE(plan_departure(state, view).empty());
}

namespace {

/// Members 1 to `count`, of which those in `excluded` may not own keys.
membership_view
view_without(std::size_t count, const std::vector<std::size_t>& excluded) {
    membership_view view = view_of(count);
    for (const std::size_t number : excluded) {
        view.members.at(number - 1).may_own = false;
    }
    return view;
}

} // namespace

TEST_CASE(
    "keys are first assigned to members that may own them",
    "[keys][takeover][regions]"
) {
    key_owner state =
        make_key_owner({}, host_id{1}, incarnation{1}, {"registry"});
    state.rows_known = true;
    const auto assigned =
        plan_takeover(state, {}, view_without(3, {1}), start + 1s).transfers;
    REQUIRE(assigned.size() == 2);
    CHECK(assigned[0].owner == host_id{2});
    CHECK(assigned[1].owner == host_id{3});
    const auto none =
        plan_takeover(state, {}, view_without(3, {1, 2, 3}), start + 1s);
    CHECK(none.transfers.empty());
}

TEST_CASE(
    "keys of a lost owner go to members that may own them",
    "[keys][takeover][regions]"
) {
    key_owner state = first_of_owners(4);
    state.watched_leases[host_id{2}] = {
        {7}, start, {{{1}, {1}}, {{3}, {1}}, {{4}, {1}}}, {}};
    handle_consent(state, host_id{3}, host_id{2}, {7});
    handle_consent(state, host_id{4}, host_id{2}, {7});
    const auto taken =
        plan_takeover(state, {}, view_without(4, {1, 3}), start + 1s);
    REQUIRE(taken.revoked_owners == std::vector<host_id>{host_id{2}});
    for (const transfer& one : taken.transfers) {
        CHECK(one.owner == host_id{4});
    }
    // Without any such member the owner keeps its lease and its keys.
    const auto none =
        plan_takeover(state, {}, view_without(4, {1, 3, 4}), start + 1s);
    CHECK(none.revoked_owners.empty());
    CHECK(none.transfers.empty());
}

TEST_CASE(
    "an owner that may not own keys moves all of them to members that may",
    "[keys][takeover][regions]"
) {
    const key_owner state = first_of_owners(4);
    const membership_view view = view_without(4, {1, 3});
    CHECK_FALSE(may_own_keys(view, host_id{1}));
    CHECK(may_own_keys(view, host_id{2}));
    std::uint64_t moved = 0;
    for (const key_move& one : plan_departure(state, view)) {
        CHECK((one.target == host_id{2} || one.target == host_id{4}));
        moved += size_of(one.keys);
    }
    CHECK(moved == owned_key_count(state.map, host_id{1}));
    CHECK(plan_departure(state, view_without(4, {2, 3, 4})).empty());
}

TEST_CASE(
    "a release whose target may not own keys any more gets another",
    "[keys][takeover][regions]"
) {
    key_owner state = first_of_owners(3);
    const key_range keys = kept_ranges(state).at(0).keys;
    start_release(state, keys, host_id{2});
    retarget_releases(state, view_of(3));
    CHECK(state.releases.at(0).target == host_id{2});
    retarget_releases(state, view_without(3, {2}));
    CHECK(state.releases.at(0).target == host_id{3});
}

TEST_CASE(
    "a member that may not own keys is no new and no faster member",
    "[keys][takeover][regions]"
) {
    const key_owner state = first_of_owners(3);
    CHECK(plan_newcomer_move(state, {}, view_of(4)));
    CHECK_FALSE(plan_newcomer_move(state, {}, view_without(4, {4})));
    // All of its keys move, not a part of them.
    CHECK_FALSE(plan_newcomer_move(state, {}, view_without(4, {1, 2, 3})));
    membership_view view = view_of(3);
    view.members[0].mean_service_time = 300ms;
    view.members[1].mean_service_time = 250ms;
    view.members[2].mean_service_time = 100ms;
    CHECK(find_much_faster_member(state, {}, view) == host_id{3});
    view.members[2].may_own = false;
    CHECK_FALSE(find_much_faster_member(state, {}, view));
}

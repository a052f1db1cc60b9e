// Guards against requests to instances in an evacuated failure domain, and
// against instances that stay unused after the evacuation.

#include <tests/http/event_loop.hpp>
#include <tests/router/daemon_group.hpp>

#include <apricotstile/core/time.hpp>
#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::tests;

namespace {

using namespace std::chrono_literals;

constexpr int requests = 20;
/// A request for a key may wait for a second before it is rejected.
constexpr int rejected_requests = 4;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

daemon_group_options
options_for(const std::vector<std::string>& domains, bool keyed = false) {
    daemon_group_options result;
    result.domains = domains;
    result.evacuation_timeout = 5s;
    if (keyed) {
        result.keyed = {"s"};
    }
    return result;
}

void wait_for(duration time) {
    const instant end = boot_clock::now() + time;
    REQUIRE(wait_until([&] {
        return boot_clock::now() > end;
    }));
}

nlohmann::json evacuations_of(const daemon_group& group, std::size_t index) {
    return group.describe(index)["evacuations"];
}

bool is_closed(const daemon_group& group, std::size_t index) {
    return evacuations_of(group, index)["here"]["closed"];
}

bool is_ready(const daemon_group& group, std::size_t index) {
    return group.describe(index)["instance"]["ready"];
}

/// Sends requests to both daemons; returns how many upstream `index` got.
std::size_t
count_requests_at(daemon_group& group, std::size_t index, int expected_status) {
    const std::size_t before = group.upstream(index).requests().size();
    const int sent =
        expected_status == status_ok ? requests : rejected_requests;
    for (int i = 0; i < sent; ++i) {
        CHECK(group.request(i % 2, "/s/1") == expected_status);
    }
    return group.upstream(index).requests().size() - before;
}

/// The upstream that has the key of all requests.
std::size_t find_owner(daemon_group& group) {
    REQUIRE(wait_until([&] {
        return group.request(0, "/s/1") == status_ok;
    }));
    const std::size_t before = group.upstream(0).requests().size();
    REQUIRE(group.request(0, "/s/1") == status_ok);
    return group.upstream(0).requests().size() > before ? 0 : 1;
}

std::string domain_of(std::size_t index) {
    return "z" + std::to_string(index);
}

} // namespace

TEST_CASE(
    "an evacuated failure domain gets no requests until that is taken back",
    "[router][evacuation]"
) {
    daemon_group group{{"s", "s", "t"}, options_for({"z0", "z1", "z1"})};
    group.evacuate("z0");
    REQUIRE(wait_until([&] {
        // The third daemon reads no changes; it gets them from the others.
        return is_closed(group, 0) &&
               evacuations_of(group, 1)["domains"].contains("z0") &&
               evacuations_of(group, 2)["domains"].contains("z0");
    }));
    CHECK_FALSE(is_closed(group, 1));
    CHECK(count_requests_at(group, 0, status_ok) == 0);
    group.end_evacuation("z0");
    REQUIRE(wait_until([&] {
        return is_ready(group, 0);
    }));
    CHECK(evacuations_of(group, 0)["domains"].empty());
    REQUIRE(wait_until([&] {
        return count_requests_at(group, 0, status_ok) > 0;
    }));
}

TEST_CASE(
    "the keys of an evacuated instance move, and some return afterwards",
    "[router][evacuation]"
) {
    daemon_group group{{"s", "s", "t"}, options_for({"z0", "z1", "z2"}, true)};
    const std::size_t owner = find_owner(group);
    group.evacuate(domain_of(owner));
    REQUIRE(wait_until([&] {
        return is_closed(group, owner) &&
               evacuations_of(group, owner)["here"]["owned_keys"] == 0;
    }));
    REQUIRE(wait_until([&] {
        return group.request(0, "/s/1") == status_ok;
    }));
    CHECK(count_requests_at(group, owner, status_ok) == 0);
    group.end_evacuation(domain_of(owner));
    REQUIRE(wait_until([&] {
        return is_ready(group, owner) &&
               evacuations_of(group, owner)["here"]["owned_keys"] > 0;
    }));
}

TEST_CASE(
    "requests are rejected while all instances of a service are in evacuated "
    "domains",
    "[router][evacuation]"
) {
    const bool keyed = GENERATE(false, true);
    daemon_group group{{"s", "s", "t"}, options_for({"z0", "z1", "z2"}, keyed)};
    REQUIRE(wait_until([&] {
        return group.request(0, "/s/1") == status_ok;
    }));
    group.evacuate("z0");
    group.evacuate("z1");
    REQUIRE(wait_until([&] {
        return is_closed(group, 0) && is_closed(group, 1);
    }));
    const std::size_t before = group.runs_of("/s/1");
    CHECK(group.request(0, "/s/1") == status_unavailable);
    CHECK(group.request(2, "/s/1") == status_unavailable);
    CHECK(group.runs_of("/s/1") == before);
    group.end_evacuation("z0");
    group.end_evacuation("z1");
    REQUIRE(wait_until([&] {
        return group.request(2, "/s/1") == status_ok;
    }));
}

TEST_CASE(
    "an instance is used although its domain was evacuated and taken back "
    "twice at once",
    "[router][evacuation]"
) {
    daemon_group_options options = options_for({"z0", "z1"}, true);
    // Longer than each evacuation lasts.
    options.drain_timeout = 2s;
    daemon_group group{{"s", "t"}, options};
    REQUIRE(wait_until([&] {
        return group.request(1, "/s/1") == status_ok;
    }));
    for (int i = 0; i < 2; ++i) {
        group.evacuate("z0");
        REQUIRE(wait_until([&] {
            return evacuations_of(group, 0)["here"]["evacuated"] == true;
        }));
        group.end_evacuation("z0");
        REQUIRE(wait_until([&] {
            return is_ready(group, 0);
        }));
    }
    // A timer of an earlier evacuation must not close the instance.
    wait_for(group.drain_timeout());
    REQUIRE(wait_until([&] {
        return group.request(1, "/s/1") == status_ok;
    }));
    CHECK(count_requests_at(group, 0, status_ok) == requests);
}

TEST_CASE(
    "a domain that is evacuated again within a second gets no requests",
    "[router][evacuation]"
) {
    const bool keyed = GENERATE(false, true);
    daemon_group group{{"s", "t"}, options_for({"z0", "z1"}, keyed)};
    REQUIRE(wait_until([&] {
        return group.request(1, "/s/1") == status_ok;
    }));
    group.evacuate("z0");
    REQUIRE(wait_until([&] {
        return evacuations_of(group, 0)["here"]["evacuated"] == true;
    }));
    group.end_evacuation("z0");
    group.evacuate("z0");
    REQUIRE(wait_until([&] {
        return evacuations_of(group, 0)["version"] == 4 && is_closed(group, 0);
    }));
    CHECK(count_requests_at(group, 0, status_unavailable) == 0);
}

TEST_CASE(
    "an evacuation binds the next run of the daemon beside the instance",
    "[router][evacuation]"
) {
    const bool is_store_down = GENERATE(false, true);
    const bool keyed = GENERATE(false, true);
    daemon_group group{{"s", "t"}, options_for({"z0", "z1"}, keyed)};
    group.evacuate("z0");
    REQUIRE(wait_until([&] {
        return is_closed(group, 0) &&
               evacuations_of(group, 1)["domains"].contains("z0");
    }));
    group.set_table_down(is_store_down);
    const std::size_t before = group.upstream(0).requests().size();
    group.restart_daemon(0);
    CHECK(group.request(1, "/s/1") == status_unavailable);
    REQUIRE(wait_until([&] {
        return is_closed(group, 0);
    }));
    CHECK(count_requests_at(group, 0, status_unavailable) == 0);
    CHECK(group.upstream(0).requests().size() == before);
    // It can't be taken back before the store answers.
    group.set_table_down(false);
    group.end_evacuation("z0");
    REQUIRE(wait_until([&] {
        return is_ready(group, 0) && group.request(1, "/s/1") == status_ok;
    }));
}

TEST_CASE(
    "a daemon that can't learn of evacuations lets no request through",
    "[router][evacuation]"
) {
    daemon_group group{{"s"}, options_for({"z0"})};
    REQUIRE(wait_until([&] {
        return group.request(0, "/s/1") == status_ok;
    }));
    group.set_table_down(true);
    const std::size_t before = group.upstream(0).requests().size();
    group.stop_daemon(0);
    group.start_daemon(0);
    // Longer than a starting daemon waits for the store.
    wait_for(2s);
    CHECK_FALSE(is_ready(group, 0));
    CHECK(evacuations_of(group, 0)["known"] == false);
    CHECK(group.request(0, "/s/1") == status_unavailable);
    CHECK(group.upstream(0).requests().size() == before);
    group.set_table_down(false);
    REQUIRE(wait_until([&] {
        return group.request(0, "/s/1") == status_ok;
    }));
}

TEST_CASE(
    "a departure during an evacuation stays final when the domain is taken "
    "back",
    "[router][evacuation]"
) {
    const bool keyed = GENERATE(false, true);
    daemon_group group{{"s", "t"}, options_for({"z0", "z1"}, keyed)};
    group.evacuate("z0");
    REQUIRE(wait_until([&] {
        return evacuations_of(group, 0)["here"]["evacuated"] == true;
    }));
    group.drain(0);
    group.set_state(0, directory::instance_state::ready);
    group.end_evacuation("z0");
    REQUIRE(wait_until([&] {
        return evacuations_of(group, 0)["here"]["evacuated"] == false;
    }));
    wait_for(group.drain_timeout());
    CHECK(count_requests_at(group, 0, status_unavailable) == 0);
}

TEST_CASE(
    "without the setting evacuations are ignored", "[router][evacuation]"
) {
    daemon_group_options options;
    options.domains = {"z0", "z1"};
    daemon_group group{{"s", "t"}, options};
    group.evacuate("z0");
    wait_for(1s);
    CHECK_FALSE(group.describe(0).contains("evacuations"));
    CHECK(count_requests_at(group, 0, status_ok) == requests);
}

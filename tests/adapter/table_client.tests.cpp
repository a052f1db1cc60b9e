// Guards against a followed table whose changes don't arrive although the store
// answers again after an outage.

#include <platform/table_client.hpp>
#include <tests/adapter/fake_store.hpp>
#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::adapter;
using namespace apricotstile::tests;
using namespace std::chrono_literals;

namespace {

/// A client that follows the store's table and has read it.
struct following_client {
    following_client()
        : client(
              store.where(),
              timers,
              [this](const std::string&, bool is_following) {
                  this->following = is_following;
              }
          ) {
        this->client.follow(
            "t",
            [this](const std::vector<platform::row_change>& changes) {
                for (const platform::row_change& one : changes) {
                    this->last_value = one.changed.value;
                }
            }
        );
        REQUIRE(wait_until([&] {
            return this->store.feed_calls() == 1;
        }));
    }

    /// Reads rows and waits for the result.
    bool read() {
        std::optional<bool> answered;
        this->client.read("other/", [&](const platform::read_result& read) {
            answered = read.answered;
        });
        REQUIRE(wait_until([&] {
            return answered.has_value();
        }));
        return *answered;
    }

    [[nodiscard]] bool has(const std::string& value) const {
        return this->last_value == value;
    }

    fake_store store;
    net::timer_queue timers;
    bool following{false};
    std::string last_value;
    table_client client;
};

} // namespace

TEST_CASE(
    "changes arrive again after an outage in which the store lost a call that "
    "waits for them",
    "[adapter][store]"
) {
    following_client fixture;
    fixture.store.set_silent(true);
    CHECK_FALSE(fixture.read());
    fixture.store.set_silent(false);
    fixture.store.write_row("YQ==");
    REQUIRE(wait_until([&] {
        return fixture.has("a");
    }));
    CHECK(fixture.following);
}

TEST_CASE(
    "a call for changes that the store refuses is made again without reading "
    "the table",
    "[adapter][store]"
) {
    following_client fixture;
    fixture.store.fail_next_feed(503);
    fixture.store.write_row("YQ==");
    REQUIRE(wait_until([&] {
        return fixture.has("a") && fixture.store.feed_calls() >= 3;
    }));
    CHECK(fixture.store.table_reads() == 1);
}

TEST_CASE(
    "a table is read again if the store doesn't have the version that it was "
    "followed from",
    "[adapter][store]"
) {
    following_client fixture;
    fixture.store.fail_next_feed(410);
    fixture.store.write_row("YQ==");
    REQUIRE(wait_until([&] {
        return fixture.store.table_reads() == 2;
    }));
}

TEST_CASE(
    "the age of a followed table is known, and grows while the store is silent",
    "[adapter][store]"
) {
    following_client fixture;
    REQUIRE(fixture.client.view_age(boot_clock::now()).has_value());
    fixture.store.set_silent(true);
    const instant later = boot_clock::now() + 60s;
    CHECK(fixture.client.view_age(later).value() > 50s);
}

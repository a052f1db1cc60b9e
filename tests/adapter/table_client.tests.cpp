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
            [this](const platform::followed_rows& changes) {
                this->deliveries.push_back(changes);
                for (const platform::row_change& one : changes.rows) {
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

    /// Submits a transaction and waits for the result.
    platform::commit_result submit(const platform::transaction& work) {
        std::optional<platform::commit_result> result;
        this->client.submit(work, [&](const platform::commit_result& end) {
            result = end;
        });
        REQUIRE(wait_until([&] {
            return result.has_value();
        }));
        return *result;
    }

    [[nodiscard]] bool has(const std::string& value) const {
        return this->last_value == value;
    }

    fake_store store;
    net::timer_queue timers;
    bool following{false};
    std::string last_value;
    std::vector<platform::followed_rows> deliveries;
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

TEST_CASE(
    "a followed table is read again when the store comes back older, although "
    "its version has caught up",
    "[adapter][store][era]"
) {
    following_client fixture;
    fixture.store.write_row("YQ==");
    fixture.store.write_row("YWI=");
    REQUIRE(wait_until([&] {
        return fixture.has("ab");
    }));
    fixture.store.restore_older(1);
    fixture.store.write_row("YmI=");
    fixture.store.write_row("Yg==");
    REQUIRE(wait_until([&] {
        static_cast<void>(fixture.read());
        return fixture.has("b");
    }));
}

TEST_CASE(
    "a transaction prepared in one era isn't sent in the next",
    "[adapter][store][era]"
) {
    following_client fixture;
    std::optional<platform::era_change> seen;
    fixture.client.set_era_handler([&](const platform::era_change& change) {
        seen = change;
    });
    platform::transaction work;
    work.conditions = {{{"t/p/k"}, {7}}};
    work.mutations = {{{"t/p/k"}, "x"}};
    CHECK(fixture.submit(work).status == platform::commit_status::committed);
    fixture.store.restore_older(3);
    CHECK_FALSE(fixture.read());
    REQUIRE(wait_until([&] {
        return seen.has_value();
    }));
    CHECK(seen->era == platform::table_era{2});
    CHECK_FALSE(seen->is_initial);
    CHECK(fixture.submit(work).status == platform::commit_status::conflict);
    CHECK(fixture.store.transactions().size() == 1);
    work.conditions.front().version = {};
    CHECK(fixture.submit(work).status == platform::commit_status::committed);
    REQUIRE(fixture.store.transactions().size() == 2);
    const std::string& sent = fixture.store.transactions().back();
    CHECK(sent.find(R"("part":"p@2")") != std::string::npos);
}

TEST_CASE(
    "a client that starts in a later era reads its rows at once",
    "[adapter][store][era]"
) {
    fake_store store;
    store.restore_older(3);
    net::timer_queue timers;
    table_client client{store.where(), timers, [](const std::string&, bool) {}};
    std::optional<platform::era_change> seen;
    client.set_era_handler([&](const platform::era_change& change) {
        seen = change;
    });
    std::optional<bool> answered;
    client.read("other/", [&](const platform::read_result& read) {
        answered = read.answered;
    });
    REQUIRE(wait_until([&] {
        return answered.has_value() && seen.has_value();
    }));
    CHECK(*answered);
    CHECK(seen->era == platform::table_era{2});
    CHECK(seen->is_initial);
}

TEST_CASE(
    "a transaction that the store executes in a later era has an unknown "
    "result",
    "[adapter][store][era]"
) {
    following_client fixture;
    fixture.store.restore_older(1);
    platform::transaction work;
    work.mutations = {{{"t/p/k"}, "x"}};
    CHECK(fixture.submit(work).status == platform::commit_status::unknown);
}

TEST_CASE(
    "a malformed response to a transaction leaves its outcome unknown",
    "[adapter]"
) {
    following_client fixture;
    const std::string body = GENERATE(
        as<std::string>{},
        R"({"schemaVersion":"7"})",
        R"({"schemaVersion":-1})",
        R"({"schemaVersion":null})",
        R"({"rows":[]})",
        "[]",
        "not JSON"
    );
    fixture.store.set_commit_body(body);
    platform::transaction work;
    work.mutations.push_back({{"members//1"}, "value"});
    CHECK(fixture.submit(work).status == platform::commit_status::unknown);
    // The daemon goes on.
    fixture.store.set_commit_body({});
    CHECK(fixture.submit(work).status == platform::commit_status::committed);
}

TEST_CASE(
    "a row that was removed unseen is missing from a delivery that is marked "
    "as "
    "complete",
    "[adapter][store]"
) {
    following_client fixture;
    REQUIRE(fixture.deliveries.size() == 1);
    CHECK(fixture.deliveries.front().is_complete);
    fixture.store.write_row("YQ==");
    REQUIRE(wait_until([&] {
        return fixture.deliveries.size() == 2;
    }));
    CHECK_FALSE(fixture.deliveries.back().is_complete);
    CHECK(fixture.deliveries.back().version == platform::row_version{2});
    CHECK(
        fixture.deliveries.back().rows.front().changed.version ==
        platform::row_version{2}
    );
    REQUIRE(wait_until([&] {
        return fixture.store.feed_calls() == 2;
    }));
    fixture.store.remove_row_and_history();
    REQUIRE(wait_until([&] {
        return fixture.deliveries.size() == 3;
    }));
    CHECK(fixture.deliveries.back().is_complete);
    CHECK(fixture.deliveries.back().rows.empty());
    CHECK(fixture.deliveries.back().version == platform::row_version{3});
}

TEST_CASE(
    "deliveries of a later era have higher versions although the store counts "
    "from an older one",
    "[adapter][store][era]"
) {
    following_client fixture;
    fixture.store.write_row("YQ==");
    REQUIRE(wait_until([&] {
        return fixture.deliveries.size() == 2;
    }));
    const platform::row_version before = fixture.deliveries.back().version;
    fixture.store.restore_older(1);
    REQUIRE(wait_until([&] {
        static_cast<void>(fixture.read());
        return fixture.deliveries.size() > 2;
    }));
    CHECK(fixture.deliveries.back().is_complete);
    CHECK(fixture.deliveries.back().version > before);
}

// JSON bodies of the platform's table service.

#include <apricotstile/daemon/internal/platform_protocol.hpp>

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

namespace {

using namespace apricotstile;
using daemon::internal::commit_body;
using daemon::internal::read_commit_answer;
using daemon::internal::read_rows_answer;
using platform::commit_status;

platform::row_key key_of(const std::string& text) {
    platform::row_key key;
    key.value = text;
    return key;
}

} // namespace

TEST_CASE("A transaction's body carries any bytes", "[platform]") {
    platform::transaction work;
    work.conditions.push_back({key_of("member/1"), platform::row_version{3}});
    work.mutations.push_back({key_of("member/1"), std::string{"\0\xff", 2}});
    work.mutations.push_back({key_of("member/2"), std::string{}});
    work.mutations.push_back({key_of("member/3"), std::nullopt});

    const auto body = nlohmann::json::parse(commit_body(work));

    CHECK(body.at("conditions").at(0).at("key") == "member/1");
    CHECK(body.at("conditions").at(0).at("version") == 3);
    CHECK(body.at("mutations").at(0).at("value") == "AP8=");
    // An empty row and a removed row are two things.
    CHECK(body.at("mutations").at(1).at("value").get<std::string>().empty());
    CHECK(body.at("mutations").at(2).at("value").is_null());
}

TEST_CASE("Answers to commits are read", "[platform]") {
    const auto committed =
        read_commit_answer(R"({"status":"committed","versions":[4,9]})");
    CHECK(committed.status == commit_status::committed);
    REQUIRE(committed.versions.size() == 2);
    CHECK(committed.versions[1] == platform::row_version{9});

    const auto conflict = read_commit_answer(R"({"status":"conflict"})");
    CHECK(conflict.status == commit_status::conflict);
}

TEST_CASE(
    "An answer that makes no sense leaves a commit unknown", "[platform]"
) {
    // Taking it for a conflict could run a transaction twice.
    const std::string body = GENERATE(
        as<std::string>{},
        "",
        "{",
        "[]",
        "null",
        R"({"status":"maybe"})",
        R"({"status":7})",
        R"({"status":"committed"})",
        R"({"status":"committed","versions":["x"]})"
    );
    CAPTURE(body);
    const auto answer = read_commit_answer(body);
    CHECK(answer.status == commit_status::unknown);
    CHECK(answer.versions.empty());
}

TEST_CASE("Rows are read in their order", "[platform]") {
    const auto read =
        read_rows_answer(R"({"rows":[{"key":"a","version":1,"value":"AP8="},)"
                         R"({"key":"b","version":2,"value":""}]})");
    CHECK(read.answered);
    REQUIRE(read.rows.size() == 2);
    CHECK(read.rows[0].key == key_of("a"));
    CHECK(read.rows[0].value == std::string{"\0\xff", 2});
    CHECK(read.rows[1].version == platform::row_version{2});
    CHECK(read.rows[1].value.empty());
}

TEST_CASE("A prefix without rows is an answer", "[platform]") {
    const auto read = read_rows_answer(R"({"rows":[]})");
    CHECK(read.answered);
    CHECK(read.rows.empty());
}

TEST_CASE("Rows that make no sense are no answer", "[platform]") {
    // Half of the rows would look like members that are gone.
    const std::string body = GENERATE(
        as<std::string>{},
        "",
        "{}",
        R"({"rows":[{"key":"a","version":1,"value":""},{"key":"b"}]})",
        R"({"rows":[{"key":"a","version":1,"value":null}]})"
    );
    CAPTURE(body);
    const auto read = read_rows_answer(body);
    CHECK_FALSE(read.answered);
    CHECK(read.rows.empty());
}

// Records and echoes, which the demo's counts rest on.

#include <standins/support/echoed_request.hpp>
#include <standins/upstream/execution.hpp>
#include <standins/upstream/served_service.hpp>
#include <standins/upstream/work_request.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace apricotstile;
using namespace apricotstile::standins;
using namespace std::chrono_literals;

namespace {

http_request work_request() {
    http_request request{"POST", "/issue", {{"call", "c1"}}, {}, "body"};
    request.headers = {
        {"apricotstile-service", "invoicing"},
        {"apricotstile-key", "berth-1"},
        {"apricotstile-customer", "hoorn"},
        {"apricotstile-request-id", "r1"},
        {"apricotstile-deadline-ms", "20"},
        {"idempotency-key", "i1"}};
    return request;
}

} // namespace

TEST_CASE("work is read from its headers", "[standins]") {
    const instant now{5s};
    const work_item item = parse_work(work_request(), work_id{9}, now);
    REQUIRE(item.service == service_id{"invoicing"});
    REQUIRE(item.caller_key == idempotency_key{"i1"});
    REQUIRE(item.call == "c1");
    REQUIRE(item.deadline == now + 20ms);
    REQUIRE(item.token.value == 0);
    REQUIRE_FALSE(item.poison);

    http_request wrong = work_request();
    wrong.headers["apricotstile-deadline-ms"] = "soon";
    REQUIRE_THROWS(parse_work(wrong, work_id{9}, now));
}

TEST_CASE("an execution survives as two lines", "[standins]") {
    const work_item item = parse_work(work_request(), work_id{9}, instant{5s});
    execution one = begin_execution(item, "127.0.0.1:9100", instant{6s});
    one.ended = instant{7s};
    one.end = execution_end::cancelled;

    REQUIRE(is_start_line(start_line(one)));
    REQUIRE_FALSE(is_start_line(end_line(one)));
    execution read = parse_start_line(start_line(one));
    REQUIRE_FALSE(read.ended);
    apply_end_line(read, end_line(one));
    REQUIRE(start_line(read) == start_line(one));
    REQUIRE(end_line(read) == end_line(one));
}

TEST_CASE("an answer belongs to exactly one request", "[standins]") {
    const echoed_request sent{"invoicing", "k", "hoorn", "c1", digest_of("x")};
    const std::string answer = answer_body(sent, "127.0.0.1:9100");
    REQUIRE(is_answer_to(sent, answer));
    REQUIRE_FALSE(is_answer_to(sent, answer.substr(0, answer.size() - 1)));
    for (const auto member :
         {&echoed_request::service,
          &echoed_request::key,
          &echoed_request::customer,
          &echoed_request::call,
          &echoed_request::digest}) {
        echoed_request other = sent;
        other.*member += "x";
        REQUIRE_FALSE(is_answer_to(other, answer));
    }
}

TEST_CASE("a service is named with its slices", "[standins]") {
    REQUIRE(parse_service("registry:256").slices == 256);
    REQUIRE(parse_service("tariffs").slices == 0);
    REQUIRE_THROWS(parse_service("registry:many"));
    REQUIRE_THROWS(parse_service(":3"));
    const std::string body =
        announcement("127.0.0.1:9100", true, {parse_service("registry:256")});
    REQUIRE(
        nlohmann::json::parse(body) ==
        nlohmann::json::parse(R"({"address":"127.0.0.1:9100",
            "state":"leaving","services":[{"name":"registry","keyed":true,
            "slices":256,"slots":16,"connections":120}]})")
    );
}

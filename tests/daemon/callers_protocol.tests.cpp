// Paths, headers and statuses of the callers' interface.

#include <apricotstile/daemon/internal/callers_protocol.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

namespace {

using namespace std::chrono_literals;
using namespace apricotstile;
using daemon::internal::parse_caller_request;
using daemon::internal::parsed_request;
using daemon::internal::response_to_caller;
using request::outcome;
using request::refusal;

http::http_request request_of(
    std::string method, std::string path, std::vector<http::header> more
) {
    http::http_request message;
    message.method = std::move(method);
    message.path = std::move(path);
    message.headers = std::move(more);
    message.headers.push_back({"Apricotstile-Customer", "hoorn"});
    return message;
}

parsed_request parse(
    std::string method, std::string path, std::vector<http::header> more = {}
) {
    return parse_caller_request(
        request_of(std::move(method), std::move(path), std::move(more))
    );
}

http::http_response refused(outcome result, refusal reason, duration pause) {
    request::routed_response response;
    response.outcome = result;
    response.refusal = reason;
    response.retry_after = pause;
    return response_to_caller(response);
}

} // namespace

TEST_CASE("A path names service, key and the upstream's target", "[callers]") {
    const parsed_request whole = parse("GET", "/v1/registry/k1/a/b");
    CHECK(whole.refusal == refusal::none);
    CHECK(whole.request.service.value == "registry");
    CHECK(whole.request.key == "k1");
    CHECK(whole.request.target == "/a/b");
    CHECK(whole.request.customer.value == "hoorn");

    const parsed_request short_one = parse("GET", "/v1/registry/k1");
    CHECK(short_one.refusal == refusal::none);
    CHECK(short_one.request.target == "/");
}

TEST_CASE("Service and key are decoded, the target is not", "[callers]") {
    const parsed_request parsed = parse("GET", "/v1/a%20b/k%2F1/x%2Fy");
    CHECK(parsed.request.service.value == "a b");
    // An encoded slash is part of the key and doesn't end it.
    CHECK(parsed.request.key == "k/1");
    CHECK(parsed.request.target == "/x%2Fy");
}

TEST_CASE("A query goes to the upstream", "[callers]") {
    http::http_request message = request_of("GET", "/v1/registry/k1", {});
    message.query = "a=1&b=2";
    const parsed_request parsed = parse_caller_request(std::move(message));
    CHECK(parsed.request.target == "/?a=1&b=2");
}

TEST_CASE("Malformed paths are refused", "[callers]") {
    const std::string path = GENERATE(
        as<std::string>{},
        "",
        "/",
        "/v1",
        "/v1/",
        "/v1/registry",
        "/v1/registry/",
        "/v1//k1",
        "/v2/registry/k1",
        "v1/registry/k1"
    );
    CAPTURE(path);
    CHECK(parse("GET", path).refusal == refusal::malformed);
}

TEST_CASE("A key has at most 512 bytes", "[callers]") {
    const std::string longest(512, 'k');
    CHECK(parse("GET", "/v1/s/" + longest).refusal == refusal::none);
    CHECK(parse("GET", "/v1/s/" + longest + "k").refusal == refusal::malformed);
}

TEST_CASE("A customer is required", "[callers]") {
    http::http_request message;
    message.method = "GET";
    message.path = "/v1/registry/k1";
    const auto parsed = parse_caller_request(std::move(message));
    CHECK(parsed.refusal == refusal::malformed);
}

TEST_CASE("POST and PATCH need an Idempotency-Key", "[callers]") {
    const std::string method = GENERATE(as<std::string>{}, "POST", "PATCH");
    CHECK(parse(method, "/v1/s/k").refusal == refusal::malformed);
    const parsed_request keyed =
        parse(method, "/v1/s/k", {{"idempotency-key", "order-1"}});
    CHECK(keyed.refusal == refusal::none);
    CHECK_FALSE(keyed.request.idempotent);
    CHECK(keyed.request.caller_key.value == "order-1");
}

TEST_CASE("GET, HEAD, PUT and DELETE are idempotent", "[callers]") {
    const std::string method =
        GENERATE(as<std::string>{}, "GET", "HEAD", "PUT", "DELETE");
    const parsed_request parsed = parse(method, "/v1/s/k");
    CHECK(parsed.refusal == refusal::none);
    CHECK(parsed.request.idempotent);
}

TEST_CASE("Other methods are refused", "[callers]") {
    const std::string method =
        GENERATE(as<std::string>{}, "", "get", "TRACE", "CONNECT");
    const parsed_request parsed =
        parse(method, "/v1/s/k", {{"Idempotency-Key", "order-1"}});
    CHECK(parsed.refusal == refusal::malformed);
}

TEST_CASE("Asking for a ticket needs no key and runs nothing", "[callers]") {
    const parsed_request parsed =
        parse("POST", "/v1/s/k", {{"Apricotstile-Ticket", "issue"}});
    CHECK(parsed.refusal == refusal::none);
    // It may be asked again safely.
    CHECK(parsed.request.idempotent);

    const parsed_request with_ticket =
        parse("POST", "/v1/s/k", {{"Apricotstile-Ticket", "1.2.3.4"}});
    CHECK(with_ticket.refusal == refusal::malformed);
}

TEST_CASE("A deadline is read, bounded and has a default", "[callers]") {
    const auto time_left = [](std::string text) {
        const parsed_request parsed = parse(
            "GET", "/v1/s/k", {{"Apricotstile-Deadline-Ms", std::move(text)}}
        );
        CHECK(parsed.refusal == refusal::none);
        return parsed.request.time_left;
    };
    CHECK(time_left("250") == 250ms);
    CHECK(time_left("3600000") == 60s);
    CHECK(parse("GET", "/v1/s/k").request.time_left == 1s);
}

TEST_CASE("A malformed deadline is refused", "[callers]") {
    const std::string text = GENERATE(
        as<std::string>{},
        "0",
        "-5",
        "1.5",
        "1s",
        " 10",
        "ten",
        "99999999999999999999999"
    );
    CAPTURE(text);
    const parsed_request parsed =
        parse("GET", "/v1/s/k", {{"Apricotstile-Deadline-Ms", text}});
    CHECK(parsed.refusal == refusal::malformed);
    CHECK(parsed.request.time_left > duration{0});
}

TEST_CASE("An answer is passed on as it is", "[callers]") {
    request::routed_response response;
    response.outcome = outcome::answered;
    response.status = 418;
    response.content_type = "text/plain";
    response.body = "short and stout";
    response.ticket = "1.2.3.4";
    const http::http_response out = response_to_caller(response);
    CHECK(out.status == 418);
    CHECK(out.content_type == "text/plain");
    CHECK(out.body == "short and stout");
    CHECK(header_value(out.headers, "Apricotstile-Outcome") == "answered");
    CHECK(header_value(out.headers, "Apricotstile-Ticket") == "1.2.3.4");
    CHECK(header_value(out.headers, "Apricotstile-Refusal").empty());
    CHECK(header_value(out.headers, "Retry-After").empty());
}

TEST_CASE("Each refusal has its status", "[callers]") {
    using row = std::pair<refusal, int>;
    const row expected = GENERATE(
        row{refusal::malformed, 400},
        row{refusal::unknown_service, 404},
        row{refusal::unknown_customer, 403},
        row{refusal::not_allowed_by_plan, 403},
        row{refusal::over_plan, 429},
        row{refusal::key_reused_with_other_body, 409},
        row{refusal::no_owner, 503},
        row{refusal::overloaded, 503},
        row{refusal::draining, 503},
        row{refusal::quarantined, 503},
        row{refusal::deadline_passed, 503}
    );
    const http::http_response out =
        refused(outcome::not_run, expected.first, 1s);
    CHECK(out.status == expected.second);
    CHECK(header_value(out.headers, "Apricotstile-Outcome") == "not_run");
    CHECK(
        header_value(out.headers, "Apricotstile-Refusal") ==
        to_string(expected.first)
    );
}

TEST_CASE("What may have run is never told as not run", "[callers]") {
    // 429 or 503 would invite callers to send a new order.
    const refusal reason = GENERATE(
        refusal::link_lost, refusal::over_plan, refusal::deadline_passed
    );
    const http::http_response out = refused(outcome::unknown, reason, 0s);
    CHECK(out.status == 504);
    CHECK(header_value(out.headers, "Apricotstile-Outcome") == "unknown");
}

TEST_CASE("Times to come back are rounded up", "[callers]") {
    const outcome result = GENERATE(outcome::not_run, outcome::unknown);
    const http::http_response out =
        refused(result, refusal::in_progress, 1200ms + 1us);
    CHECK(header_value(out.headers, "Retry-After") == "2");
    CHECK(header_value(out.headers, "Apricotstile-Retry-After-Ms") == "1201");
}

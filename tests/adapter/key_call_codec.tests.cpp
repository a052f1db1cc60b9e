// The JSON of calls that grant and release keys, and what responses to them
// prove.

#include <platform/key_call_codec.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace std::chrono_literals;

namespace {

keys::call_outcome outcome_of(std::uint16_t status) {
    http::received_response response;
    response.status = status;
    return adapter::key_call_format().read_response(response).outcome;
}

} // namespace

TEST_CASE("a grant names keys, token, duration and handover", "[adapter]") {
    keys::grant_call call;
    call.keys = {4096, 8191};
    call.fence = {12};
    call.handover = "5c0e";
    call.grant_duration = 2500ms;
    const http::http_request request =
        adapter::key_call_format().grant_request(call);
    CHECK(request.method == "POST");
    CHECK(request.path == "/v1/grant");
    CHECK(
        nlohmann::json::parse(request.body) ==
        nlohmann::json{
            {"from", 4096},
            {"target", 8191},
            {"fence", 12},
            {"holdMs", 2500},
            {"handover", "5c0e"}}
    );
}

TEST_CASE("a grant without a handover doesn't mention one", "[adapter]") {
    const http::http_request request =
        adapter::key_call_format().grant_request({});
    CHECK_FALSE(nlohmann::json::parse(request.body).contains("handover"));
}

TEST_CASE("a release names keys and token", "[adapter]") {
    keys::release_call call;
    call.keys = {4096, 8191};
    call.fence = {12};
    const http::http_request request =
        adapter::key_call_format().release_request(call);
    CHECK(request.method == "POST");
    CHECK(request.path == "/v1/release");
    CHECK(
        nlohmann::json::parse(request.body) ==
        nlohmann::json{{"from", 4096}, {"target", 8191}, {"fence", 12}}
    );
}

TEST_CASE("the response to a release brings the handover", "[adapter]") {
    http::received_response response;
    response.status = 200;
    response.headers = {{"x-apricotstile-handover", "5c0e"}};
    const keys::call_result result =
        adapter::key_call_format().read_response(response);
    CHECK(result.outcome == keys::call_outcome::accepted);
    CHECK(result.handover == "5c0e");
}

TEST_CASE(
    "only a client error proves that the instance did nothing", "[adapter]"
) {
    CHECK(outcome_of(200) == keys::call_outcome::accepted);
    CHECK(outcome_of(400) == keys::call_outcome::rejected);
    CHECK(outcome_of(409) == keys::call_outcome::outdated_token);
    CHECK(outcome_of(500) == keys::call_outcome::no_response);
    CHECK(outcome_of(503) == keys::call_outcome::no_response);
    CHECK(outcome_of(204) == keys::call_outcome::no_response);
}

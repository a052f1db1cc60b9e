// What responses tell the choice of instance.

#include <apricotstile/daemon/internal/ingress_description.hpp>

#include <catch2/catch.hpp>

namespace {

using namespace apricotstile;
using daemon::internal::send_result_of;
using request::outcome;
using request::refusal;
using upstream::send_result;

send_result result_of(outcome end, refusal reason, std::uint16_t status = 0) {
    request::routed_response response;
    response.outcome = end;
    response.refusal = reason;
    response.status = status;
    return send_result_of(response);
}

} // namespace

TEST_CASE("Server errors count against an instance", "[ingress]") {
    CHECK(
        result_of(outcome::answered, refusal::none, 200) ==
        send_result::answered
    );
    // The caller's mistake and not the instance's.
    CHECK(
        result_of(outcome::answered, refusal::none, 404) ==
        send_result::answered
    );
    CHECK(
        result_of(outcome::answered, refusal::none, 500) == send_result::failed
    );
}

TEST_CASE(
    "Load, faults and refusals of a request are told apart", "[ingress]"
) {
    CHECK(
        result_of(outcome::not_run, refusal::overloaded) == send_result::shed
    );
    CHECK(
        result_of(outcome::not_run, refusal::upstream_lost) ==
        send_result::failed
    );
    CHECK(
        result_of(outcome::unknown, refusal::upstream_timed_out) ==
        send_result::failed
    );
    CHECK(
        result_of(outcome::not_run, refusal::quarantined) ==
        send_result::abandoned
    );
}

TEST_CASE("A dump shows requests in flight and instances", "[ingress]") {
    request::ingress_snapshot requests;
    requests.stopping = true;
    requests.counters.retries = 3;
    request::attempt_line line;
    line.id.value = 7;
    line.state = request::attempt_state::in_flight;
    line.sends = 2;
    line.journal.push_back({});
    requests.attempts.push_back(line);
    upstream::load_balancer_snapshot balancer;
    upstream::instance_line instance;
    instance.service.value = "tariffs";
    instance.slots = 16;
    balancer.instances.push_back(instance);

    const auto shown = daemon::internal::describe(requests, balancer);

    CHECK(shown.at("stopping") == true);
    CHECK(shown.at("requests").at("retries") == 3);
    CHECK(shown.at("attempts").at(0).at("id") == 7);
    CHECK(shown.at("attempts").at(0).at("sends") == 2);
    CHECK(shown.at("attempts").at(0).at("journal").size() == 1);
    CHECK(shown.at("instances").at(0).at("service") == "tariffs");
    CHECK(shown.at("instances").at(0).at("slots") == 16);
}

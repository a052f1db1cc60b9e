// Guards against a large request that takes the memory of the daemon beside its
// instance, that arrives changed, or that is called lost although it can't have
// run.

#include <apricotstile/peer/peer_links.hpp>
#include <apricotstile/serving/held_bytes.hpp>
#include <tests/http/event_loop.hpp>
#include <tests/support/numbered_bytes.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace apricotstile;
using namespace apricotstile::peer;
using apricotstile::tests::numbered_bytes;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t megabyte = 1'000'000;

/// A daemon's side of the links.
struct linked_daemon {
    explicit linked_daemon(std::size_t limit) : where(tests::unused_address()) {
        tests::need_application();
        this->memory.limit = limit;
        peer_link_events events;
        events.on_request =
            [this](peer_request_id from, routed_request&& request, const service_id&) {
                this->requests[from] = std::move(request);
            };
        events.on_memory_refused = [this](peer_request_id from) {
            this->links->respond(
                from,
                {from.stream,
                 unanswered_response(
                     serving::attempt_outcome::refused_busy, 1s
                 ),
                 {},
                 {}}
            );
        };
        events.on_cancel = [this](peer_request_id from) {
            this->cancelled += 1;
            this->requests.erase(from);
        };
        events.on_entry = [](host_id, const entry_frame&) {};
        events.on_link_ready = [](host_id) {};
        events.on_control = [](host_id,
                               const frame&,
                               const std::function<void(const frame&)>&) {};
        events.on_unresponsive = [](host_id) {};
        events.on_load = [](host_id, const serving::reported_load&) {};
        events.on_newer_config = [](host_id, routing::config_version) {};
        this->links.emplace(this->where, this->timers, this->memory, events);
        entry_frame own;
        own.member.host = host_at(this->where);
        own.member.service = {"s"};
        this->links->publish_entry(own);
    }

    serving::memory_budget memory;
    address where;
    net::timer_queue timers;
    std::map<peer_request_id, routed_request> requests;
    int cancelled{0};
    std::optional<peer_links> links;
};

routed_request request_of(std::string body) {
    routed_request request;
    request.method = "POST";
    request.target = "/s/1";
    request.body = std::move(body);
    request.time_to_deadline = 9s;
    return request;
}

struct outcome_of_request {
    std::optional<routed_response> response;

    peer_links::response_handler handler() {
        return [this](routed_response&& received) {
            this->response = std::move(received);
        };
    }
};

} // namespace

TEST_CASE("large requests arrive unchanged beside others", "[peer][parts]") {
    linked_daemon from{100 * megabyte};
    linked_daemon to{100 * megabyte};
    outcome_of_request ignored;
    const host_id peer = host_at(to.where);
    const std::string large = numbered_bytes(3 * megabyte);
    const std::string other = numbered_bytes(700'001);
    from.links->send(peer, request_of(large), ignored.handler());
    from.links->send(peer, request_of(other), ignored.handler());
    from.links->send(peer, request_of("small"), ignored.handler());
    REQUIRE(tests::wait_until([&] {
        return to.requests.size() == 3;
    }));
    std::map<std::size_t, std::string> received;
    for (const auto& [id, request] : to.requests) {
        received[request.body.size()] = std::string{request.body.view()};
        CHECK(request.time_to_deadline <= 9s);
    }
    CHECK(received[large.size()] == large);
    CHECK(received[other.size()] == other);
    CHECK(received[5] == "small");
    CHECK(to.memory.reserved >= large.size() + other.size());
    to.requests.clear();
    CHECK(to.memory.reserved < megabyte);
}

TEST_CASE("a body may exceed the length of a frame", "[peer][parts]") {
    linked_daemon from{200 * megabyte};
    linked_daemon to{200 * megabyte};
    outcome_of_request ignored;
    const std::size_t body_bytes = max_frame_length + megabyte;
    from.links->send(
        host_at(to.where),
        request_of(std::string(body_bytes, 'x')),
        ignored.handler()
    );
    REQUIRE(tests::wait_until([&] {
        return to.requests.size() == 1;
    }));
    CHECK(to.requests.begin()->second.body.size() == body_bytes);
}

TEST_CASE(
    "a large request is refused before its body arrives if there is no memory",
    "[peer][parts]"
) {
    linked_daemon from{100 * megabyte};
    linked_daemon to{2 * megabyte};
    const host_id peer = host_at(to.where);
    outcome_of_request large;
    outcome_of_request small;
    from.links->send(
        peer, request_of(numbered_bytes(9 * megabyte)), large.handler()
    );
    REQUIRE(tests::wait_until([&] {
        return large.response.has_value();
    }));
    CHECK(large.response->outcome == serving::attempt_outcome::refused_busy);
    CHECK(large.response->retry_after == 1s);
    CHECK(to.memory.refused == 1);
    CHECK(to.memory.reserved < megabyte);
    from.links->send(peer, request_of("small"), small.handler());
    REQUIRE(tests::wait_until([&] {
        return to.requests.size() == 1;
    }));
    CHECK(to.requests.begin()->second.body == "small");
}

TEST_CASE(
    "a request that is cancelled while it is sent holds nothing",
    "[peer][parts]"
) {
    linked_daemon from{100 * megabyte};
    linked_daemon to{100 * megabyte};
    const host_id peer = host_at(to.where);
    outcome_of_request ignored;
    const stream_id stream = from.links->send(
        peer, request_of(numbered_bytes(40 * megabyte)), ignored.handler()
    );
    REQUIRE(tests::wait_until([&] {
        return to.memory.reserved >= 40 * megabyte;
    }));
    from.links->cancel(peer, stream);
    REQUIRE(tests::wait_until([&] {
        return to.memory.reserved < megabyte;
    }));
    CHECK(to.cancelled == 1);
    CHECK(to.requests.empty());
}

TEST_CASE(
    "a request whose body is sent in part when the link ends hasn't run",
    "[peer][parts]"
) {
    linked_daemon from{100 * megabyte};
    std::optional<linked_daemon> to;
    to.emplace(100 * megabyte);
    const host_id peer = host_at(to->where);
    outcome_of_request large;
    outcome_of_request small;
    from.links->send(peer, request_of("small"), small.handler());
    from.links->send(
        peer, request_of(numbered_bytes(40 * megabyte)), large.handler()
    );
    REQUIRE(tests::wait_until([&] {
        return to->memory.reserved >= 40 * megabyte && to->requests.size() == 1;
    }));
    to.reset();
    REQUIRE(tests::wait_until([&] {
        return large.response.has_value() && small.response.has_value();
    }));
    CHECK(large.response->outcome == serving::attempt_outcome::refused_closed);
    CHECK(small.response->outcome == serving::attempt_outcome::lost);
}

// The next owner of a slice answers a resend from the memory of the owner
// before.

#include <apricotstile/core/time.hpp>
#include <apricotstile/daemon/dispatch_duty.hpp>
#include <apricotstile/request/owner_memory.hpp>
#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace apricotstile;
using namespace apricotstile::daemon;
using namespace std::chrono_literals;
using apricotstile::tests::need_application;
using apricotstile::tests::unused_address;
using apricotstile::tests::wait_until;

namespace {

const service_id service{"invoicing"};
const member::member_ref self{host_id{1}, incarnation{1}};
const member::member_ref owner_before{host_id{2}, incarnation{1}};
constexpr fencing_token token_before{1};
constexpr fencing_token token{2};

address address_of_tests() {
    need_application();
    return unused_address();
}

/// A running dispatch duty beside an upstream of one service with one slice.
struct running_dispatch {
    published_state state;
    QObject context;
    inbox<link_message> links{100};
    inbox<ingress_message> ingress{100};
    inbox<control_message> control{100};
    std::vector<request::routed_response> responses;
    std::vector<outgoing_handover> sent_on;
    address announcements{address_of_tests()};
    dispatch_duty tested{
        {this->announcements,
         {},
         this->state,
         this->links,
         this->ingress,
         this->control}};

    running_dispatch() {
        this->links.open(&this->context, [](link_message&&) {});
        this->ingress.open(&this->context, [this](ingress_message&& message) {
            if (auto* done = std::get_if<finished_request>(&message)) {
                this->responses.push_back(std::move(done->response));
            }
        });
        this->control.open(&this->context, [this](control_message&& message) {
            if (auto* memory = std::get_if<outgoing_handover>(&message)) {
                this->sent_on.push_back(std::move(*memory));
            }
        });
        this->state.lease_valid_until = instant::max();
        this->tested.start();
        auto owner = std::make_shared<assignment::owner_state>();
        owner->self = self;
        this->tested.messages.push(owner_changed{std::move(owner)});
    }

    running_dispatch(const running_dispatch&) = delete;
    running_dispatch& operator=(const running_dispatch&) = delete;

    ~running_dispatch() {
        this->tested.stop();
    }

    void announce_upstream() {
        const nlohmann::json announced{
            {"address", to_string(unused_address())},
            {"state", "ready"},
            {"services",
             {{{"name", service.value},
               {"keyed", false},
               {"slots", 8},
               {"connections", 8}}}}};
        http::client_pool pool{this->announcements, 1};
        http::http_request message;
        message.method = "POST";
        message.path = "/announce";
        message.body = announced.dump();
        bool announced_once = false;
        pool.start(message, 10s, [&](http::exchange_result&& result) {
            announced_once = result.failure == http::exchange_failure::none;
        });
        REQUIRE(wait_until([&] {
            return announced_once;
        }));
    }

    void publish_map(
        const member::member_ref& owner,
        fencing_token owned_under,
        member::member_state state_of_owner_before
    ) {
        auto map = std::make_shared<assignment::assignment_map>();
        map->version = map_version{owned_under.value};
        assignment::slice_assignment slice;
        slice.owner = owner;
        slice.token = owned_under;
        map->services[service].slices.push_back(slice);
        auto view = std::make_shared<routing_view>();
        view->self = self;
        view->map = std::move(map);
        member::member_record record;
        record.self = owner_before;
        record.state = state_of_owner_before;
        view->members.emplace(owner_before.host, record);
        this->state.view.store(std::move(view));
        // The duty reads the map before it takes a memory; this one is of a
        // service that it doesn't know.
        request::slice_handover unknown;
        unknown.service = service_id{"unknown"};
        this->tested.messages.push(std::move(unknown));
        this->tested.run([] {});
    }

    void resend() {
        incoming_work work;
        work.request.id = request_id{1};
        work.request.service = service;
        work.request.customer = customer_id{"hoorn"};
        work.request.idempotent = false;
        work.request.caller_key = idempotency_key{"invoice 7"};
        work.request.time_left = 10s;
        work.request.method = "POST";
        work.request.target = "/invoices";
        work.received_at = boot_clock::now();
        this->tested.messages.push(std::move(work));
    }

    /// The memory of an owner that ran the request and answered 201.
    void hand_over() {
        request::routed_request ran;
        ran.method = "POST";
        ran.target = "/invoices";
        request::handover_record record;
        record.id = {customer_id{"hoorn"}, idempotency_key{"invoice 7"}};
        record.record.content_hash = request::content_hash(ran);
        record.record.running = false;
        record.record.answer.outcome = request::outcome::answered;
        record.record.answer.refusal = request::refusal::none;
        record.record.answer.status = 201;
        record.time_left = 1min;
        request::slice_handover memory;
        memory.service = service;
        memory.slice = slice_id{0};
        memory.released_to = token;
        memory.tokens.push_back({token_before, 1min, 0s});
        memory.records.push_back(std::move(record));
        this->tested.messages.push(std::move(memory));
    }

    [[nodiscard]] std::size_t held() {
        return this->tested.describe().at("held").get<std::size_t>();
    }
};

} // namespace

// Without the wait a resend that came between the new map and the memory was
// answered unknown/outcome_forgotten, although the call had been answered.
TEST_CASE(
    "a resend waits for the memory of the owner before", "[dispatch_duty]"
) {
    const auto state_of_owner_before = GENERATE(
        member::member_state::active,
        member::member_state::draining,
        member::member_state::left
    );
    running_dispatch dispatch;
    dispatch.announce_upstream();
    dispatch.publish_map(
        owner_before, token_before, member::member_state::active
    );
    dispatch.publish_map(self, token, state_of_owner_before);
    dispatch.resend();
    REQUIRE(wait_until([&] {
        return dispatch.held() == 1 || !dispatch.responses.empty();
    }));
    CHECK(dispatch.responses.empty());
    dispatch.hand_over();
    REQUIRE(wait_until([&] {
        return !dispatch.responses.empty();
    }));
    CHECK(dispatch.responses.front().outcome == request::outcome::answered);
    CHECK(dispatch.responses.front().status == 201);
}

TEST_CASE(
    "a resend after the loss of the owner before doesn't wait",
    "[dispatch_duty]"
) {
    running_dispatch dispatch;
    dispatch.announce_upstream();
    dispatch.publish_map(
        owner_before, token_before, member::member_state::active
    );
    dispatch.publish_map(self, token, member::member_state::deposed);
    dispatch.resend();
    REQUIRE(wait_until([&] {
        return !dispatch.responses.empty();
    }));
    CHECK(dispatch.responses.front().outcome == request::outcome::unknown);
    CHECK(
        dispatch.responses.front().refusal ==
        request::refusal::outcome_forgotten
    );
}

// The memory is that of the whole slice. Without it the slice would be opened
// again as one that ran nothing.
TEST_CASE(
    "the memory stays when a single key of the slice leaves", "[dispatch_duty]"
) {
    running_dispatch dispatch;
    dispatch.announce_upstream();
    dispatch.publish_map(
        owner_before, token_before, member::member_state::active
    );
    dispatch.publish_map(self, token, member::member_state::draining);
    dispatch.hand_over();
    dispatch.tested.messages.push(assignment::range_released{
        {service, slice_id{0}, "a hot key"}, owner_before, next(token)});
    dispatch.resend();
    REQUIRE(wait_until([&] {
        return !dispatch.responses.empty();
    }));
    CHECK(dispatch.responses.front().outcome == request::outcome::answered);
}

// A map that came later than the release's outcome kept the memory back, while
// the next owner answered resends without it.
TEST_CASE("the memory is sent before the map shows it", "[dispatch_duty]") {
    running_dispatch dispatch;
    dispatch.announce_upstream();
    dispatch.publish_map(self, token, member::member_state::left);
    dispatch.hand_over();
    dispatch.tested.messages.push(assignment::range_released{
        {service, slice_id{0}, {}}, owner_before, next(token)});
    REQUIRE(wait_until([&] {
        return dispatch.sent_on.size() == 1;
    }));
    CHECK(dispatch.sent_on.front().host == owner_before.host);
    CHECK(dispatch.sent_on.front().memory.released_to == next(token));
    CHECK(dispatch.sent_on.front().memory.records.size() == 1);
}

TEST_CASE(
    "a memory that doesn't come is waited for briefly", "[dispatch_duty]"
) {
    running_dispatch dispatch;
    dispatch.announce_upstream();
    dispatch.publish_map(
        owner_before, token_before, member::member_state::active
    );
    dispatch.publish_map(self, token, member::member_state::draining);
    dispatch.resend();
    REQUIRE(wait_until([&] {
        return !dispatch.responses.empty();
    }));
    CHECK(
        dispatch.responses.front().refusal ==
        request::refusal::outcome_forgotten
    );
}

// Callers' requests from arrival to answer.

#include <apricotstile/daemon/ingress_duty.hpp>

#include <apricotstile/daemon/internal/callers_protocol.hpp>
#include <apricotstile/daemon/internal/ingress_description.hpp>

#include <iterator>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;
using request::outcome;
using request::refusal;

constexpr std::size_t inbox_capacity = 65536;
constexpr auto tick_interval = 5ms;

random_source seeded_source() {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_source{seed};
}

} // namespace

ingress_duty::ingress_duty(const ingress_wiring& parts)
    : duty("ingress"), messages(inbox_capacity), wiring(parts),
      random(seeded_source()) {
    // Ids of an earlier run of this daemon must not come again.
    this->decisions.last_id.value = this->random();
    this->balancer.self = parts.where;
}

ingress_duty::~ingress_duty() = default;

void ingress_duty::set_up() {
    this->messages.open(this->context(), [this](ingress_message&& message) {
        this->take_message(std::move(message));
    });
    this->server = std::make_unique<http::server>(
        http::server_limits{},
        [this](http::exchange_id exchange, http::http_request&& message) {
            this->take(exchange, std::move(message));
        },
        [this](http::exchange_id exchange) {
            this->hung_up(exchange);
        }
    );
    this->server->listen_on(this->wiring.callers);
    this->timer = std::make_unique<QTimer>();
    this->timer->setInterval(tick_interval);
    QObject::connect(
        this->timer.get(),
        &QTimer::timeout,
        this->context(),
        [this] {
            this->tick();
        }
    );
    this->timer->start();
}

void ingress_duty::tear_down() {
    this->messages.close();
    this->timer.reset();
    this->server.reset();
}

void ingress_duty::drain() {
    this->run([this] {
        this->decisions.stopping = true;
        this->server->stop_listening();
    });
}

std::size_t ingress_duty::waiting() {
    std::size_t count = 0;
    this->run([&] {
        count = this->requests.size() + this->waiting_count;
    });
    return count;
}

void ingress_duty::take(
    http::exchange_id exchange, http::http_request&& message
) {
    const instant now = boot_clock::now();
    internal::parsed_request parsed =
        internal::parse_caller_request(std::move(message));
    if (parsed.refusal != refusal::none) {
        this->refuse(exchange, parsed.refusal, duration{0});
        return;
    }
    if (internal::refuses(this->pauses, parsed.request.idempotent, now)) {
        this->refuse(
            exchange, refusal::overloaded, internal::refusal_after_pause
        );
        return;
    }
    this->admit({exchange, std::move(parsed.request), now, now});
}

void ingress_duty::begin(unadmitted_request&& one) {
    const instant now = boot_clock::now();
    request::arrival arrival;
    arrival.idempotent = one.request.idempotent;
    arrival.keyed = this->has_owner(one.request);
    arrival.deadline = one.started + one.request.time_left;
    request::arrival_result arrived = arrive(this->decisions, arrival, now);
    this->request_of.emplace(one.exchange, arrived.id);
    this->requests.emplace(
        arrived.id,
        open_request{one.exchange, std::move(one.request), one.started, {}}
    );
    this->perform(std::move(arrived.actions));
}

void ingress_duty::take_message(ingress_message&& message) {
    if (auto* done = std::get_if<finished_request>(&message)) {
        this->take_response(std::move(*done));
    } else if (auto* broken = std::get_if<link_broken>(&message)) {
        for (const request_id stream : broken->unanswered) {
            if (open_request* const one = this->request_on(stream)) {
                this->end_try(*one, upstream::send_result::failed, {});
            }
            this->apply(request::link_lost{stream});
        }
    } else if (auto* unsent = std::get_if<request_not_sent>(&message)) {
        if (open_request* const one = this->request_on(unsent->id)) {
            this->end_try(*one, upstream::send_result::failed, {});
        }
        this->apply(request::send_failed{unsent->id});
    } else if (auto* share = std::get_if<share_came>(&message)) {
        this->retry_waiting(share->customer);
    }
}

void ingress_duty::take_response(finished_request&& message) {
    this->follow_map();
    open_request* const one = this->request_on(message.response.id);
    if (one != nullptr && one->placed && one->placed->host == message.host) {
        this->end_try(
            *one, internal::send_result_of(message.response), message.response
        );
    }
    this->apply(request::response_arrived{
        message.host, std::move(message.response)});
}

void ingress_duty::hung_up(http::exchange_id exchange) {
    const auto found = this->request_of.find(exchange);
    if (found != this->request_of.end()) {
        this->apply(request::caller_gone{found->second});
        return;
    }
    for (auto& [customer, queue] : this->waiting_for_share) {
        this->waiting_count -=
            std::erase_if(queue, [&](const unadmitted_request& one) {
                return one.exchange == exchange;
            });
    }
}

void ingress_duty::tick() {
    internal::notice_time(this->pauses, boot_clock::now());
    this->follow_view();
    this->expire_waiting();
    if (next_wake_up(this->decisions) <= boot_clock::now()) {
        this->apply(request::clock_ticked{});
    }
}

void ingress_duty::apply(const request::ingress_event& event) {
    this->perform(step(this->decisions, event, boot_clock::now()));
}

void ingress_duty::perform(request::ingress_actions&& actions) {
    std::deque<request::ingress_action> waiting{
        std::make_move_iterator(actions.begin()),
        std::make_move_iterator(actions.end())};
    const auto append = [&](request::ingress_actions&& more) {
        std::move(more.begin(), more.end(), std::back_inserter(waiting));
    };
    while (!waiting.empty()) {
        request::ingress_action one = std::move(waiting.front());
        waiting.pop_front();
        // A reply may take the connection's next request or find it closed,
        // so what waits here may concern requests that are gone by now.
        if (const auto* route = std::get_if<request::find_route>(&one)) {
            if (this->decisions.attempts.contains(route->id)) {
                append(step(
                    this->decisions, this->find_route(*route), boot_clock::now()
                ));
            }
        } else if (const auto* out = std::get_if<request::send_to_host>(&one)) {
            if (this->decisions.streams.contains(out->stream)) {
                append(this->send(*out));
            }
        } else if (const auto* stop = std::get_if<request::cancel_stream>(&one)) {
            this->cancel(*stop);
        } else if (auto* done = std::get_if<request::answer_caller>(&one)) {
            this->answer(std::move(*done));
        }
        // The control duty gets newer maps without being asked.
    }
}

request::ingress_actions ingress_duty::send(const request::send_to_host& what) {
    const instant now = boot_clock::now();
    open_request& one = this->requests.at(what.id);
    request::routed_request copy = one.request;
    copy.id = what.stream;
    copy.time_left = what.time_left;
    copy.routed_by = what.routed_by;
    if (one.placed) {
        one.placed->sent = now;
    }
    const bool own = what.host == this->wiring.state.view.load()->self.host;
    const bool pushed = own ? this->wiring.dispatch.push(incoming_work{
                                  {}, std::move(copy), now})
                            : this->wiring.links.push(outgoing_request{
                                  what.host, std::move(copy)});
    if (pushed) {
        return {};
    }
    this->end_try(one, upstream::send_result::abandoned, {});
    return step(this->decisions, request::send_failed{what.stream}, now);
}

void ingress_duty::cancel(const request::cancel_stream& what) {
    if (what.host == this->wiring.state.view.load()->self.host) {
        this->wiring.dispatch.push(cancelled_work{{}, what.stream});
    } else {
        this->wiring.links.push(outgoing_cancel{what.host, what.stream});
    }
}

void ingress_duty::answer(request::answer_caller&& what) {
    const auto found = this->requests.find(what.id);
    open_request& one = found->second;
    request::routed_response response;
    if (what.response) {
        response = std::move(*what.response);
    } else {
        response.outcome = what.outcome;
        response.refusal = what.refusal;
        response.retry_after = what.retry_after;
        response.ticket = std::move(what.ticket);
    }
    const bool timed_out = what.refusal == refusal::deadline_passed;
    this->end_try(
        one,
        timed_out ? upstream::send_result::failed
                  : upstream::send_result::abandoned,
        response
    );
    if (response.outcome == outcome::answered) {
        metrics::record(
            this->answered_latency, boot_clock::now() - one.started
        );
    }
    const http::exchange_id exchange = one.exchange;
    this->wiring.shares.finish(one.request.customer);
    this->request_of.erase(exchange);
    this->requests.erase(found);
    this->reply(exchange, response);
}

void ingress_duty::reply(
    http::exchange_id exchange, const request::routed_response& response
) {
    ++this->outcomes[std::string{to_string(response.outcome)}];
    if (response.refusal != refusal::none) {
        ++this->outcomes[std::string{to_string(response.refusal)}];
    }
    this->server->reply(exchange, internal::response_to_caller(response));
}

nlohmann::json ingress_duty::description() const {
    const instant now = boot_clock::now();
    nlohmann::json result = internal::describe(
        request::describe(this->decisions, now),
        upstream::describe(this->balancer, now)
    );
    result["waiting_requests"] = this->requests.size();
    result["waiting_for_share"] = this->waiting_count;
    result["inbox"] = this->messages.size();
    result["inbox_refused"] = this->messages.refused_count();
    result["outcomes"] = this->outcomes;
    result["answered_latency"] = metrics::to_json(this->answered_latency);
    const http::server_counters& counters = this->server->counters();
    result["callers"] = {
        {"open_connections", this->server->open_connections()},
        {"requests", counters.requests},
        {"refused_too_large", counters.refused_too_large},
        {"refused_pipelined", counters.refused_pipelined},
        {"closed_idle", counters.closed_idle},
        {"hung_up", counters.hung_up},
        {"incomplete", counters.incomplete}};
    return result;
}

} // namespace apricotstile::daemon

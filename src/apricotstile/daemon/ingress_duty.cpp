// Routing of callers' requests.

#include <apricotstile/daemon/ingress_duty.hpp>

#include <apricotstile/daemon/internal/callers_protocol.hpp>
#include <apricotstile/daemon/internal/owner_lookup.hpp>

#include <random>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;
using request::outcome;
using request::refusal;

constexpr std::size_t inbox_capacity = 65536;
constexpr std::size_t max_waiting_requests = 16384;
constexpr auto expiry_interval = 5ms;
constexpr unsigned max_attempts = 3;
constexpr duration refusal_pause = 100ms;

request::routed_response refused(request_id id, refusal reason) {
    request::routed_response response;
    response.id = id;
    response.outcome = outcome::not_run;
    response.refusal = reason;
    response.retry_after = refusal_pause;
    return response;
}

} // namespace

ingress_duty::ingress_duty(const ingress_wiring& parts)
    : duty("ingress"), messages(inbox_capacity), wiring(parts) {
    std::random_device device;
    this->last_id.value =
        (static_cast<std::uint64_t>(device()) << 32U) | device();
}

ingress_duty::~ingress_duty() = default;

void ingress_duty::set_up() {
    this->messages.open(this->context(), [this](ingress_message&& message) {
        if (auto* done = std::get_if<finished_request>(&message)) {
            this->take_response(std::move(*done));
        } else if (auto* broken = std::get_if<link_broken>(&message)) {
            this->take_broken_link(broken->host);
        } else if (auto* unsent = std::get_if<request_not_sent>(&message)) {
            this->take_response(
                {unsent->host, refused(unsent->id, refusal::link_lost)}
            );
        }
    });
    this->server = std::make_unique<http::server>(
        http::server_limits{},
        [this](http::exchange_id exchange, http::http_request&& message) {
            this->take(exchange, std::move(message));
        },
        [this](http::exchange_id exchange) {
            this->caller_hung_up(exchange);
        }
    );
    this->server->listen_on(this->wiring.callers);
    this->timer = std::make_unique<QTimer>();
    this->timer->setInterval(expiry_interval);
    QObject::connect(
        this->timer.get(),
        &QTimer::timeout,
        this->context(),
        [this] {
            this->expire();
        }
    );
    this->timer->start();
}

void ingress_duty::tear_down() {
    this->timer.reset();
    this->server.reset();
}

void ingress_duty::drain() {
    this->run([this] {
        this->server->stop_listening();
    });
}

std::size_t ingress_duty::waiting() {
    std::size_t count = 0;
    this->run([&] {
        count = this->waiting_requests.size();
    });
    return count;
}

void ingress_duty::take(
    http::exchange_id exchange, http::http_request&& message
) {
    const instant now = boot_clock::now();
    internal::parsed_request parsed =
        internal::parse_caller_request(std::move(message));
    this->last_id = next(this->last_id);
    const request_id id = this->last_id;
    parsed.request.id = id;
    pending one;
    one.exchange = exchange;
    one.started = now;
    one.deadline = now + parsed.request.time_left;
    one.request = std::move(parsed.request);
    this->request_of.emplace(exchange, id);
    this->deadlines.emplace(one.deadline, id);
    const auto [place, added] =
        this->waiting_requests.emplace(id, std::move(one));
    if (parsed.refusal != refusal::none) {
        this->refuse(id, parsed.refusal);
    } else if (this->waiting_requests.size() > max_waiting_requests) {
        this->refuse(id, refusal::overloaded);
    } else {
        this->route(place->second);
    }
}

void ingress_duty::route(pending& one) {
    const auto view = this->wiring.state.view.load();
    const internal::owner_result owner =
        internal::find_owner(*view, one.request.service, one.request.key);
    if (owner.refusal != refusal::none) {
        this->refuse(one.request.id, owner.refusal);
        return;
    }
    one.request.routed_by = view->map->version;
    this->send(one, owner.host);
}

void ingress_duty::send(pending& one, host_id host) {
    const instant now = boot_clock::now();
    if (now >= one.deadline) {
        this->refuse(one.request.id, refusal::deadline_passed);
        return;
    }
    ++one.attempts;
    one.host = host;
    one.request.time_left = one.deadline - now;
    const host_id self = this->wiring.state.view.load()->self.host;
    const bool pushed =
        host == self
            ? this->wiring.dispatch.push(incoming_work{{}, one.request, now})
            : this->wiring.links.push(outgoing_request{host, one.request});
    if (!pushed) {
        this->refuse(one.request.id, refusal::overloaded);
    }
}

void ingress_duty::take_response(finished_request&& message) {
    const auto found = this->waiting_requests.find(message.response.id);
    if (found == this->waiting_requests.end()) {
        ++this->late_responses;
        return;
    }
    pending& one = found->second;
    if (one.host != message.host) {
        ++this->late_responses;
        return;
    }
    const bool stale_route = message.response.outcome == outcome::not_run &&
                             (message.response.refusal == refusal::not_owner ||
                              message.response.refusal == refusal::link_lost);
    if (stale_route && one.attempts < max_attempts) {
        const auto view = this->wiring.state.view.load();
        if (view->map->version > one.request.routed_by) {
            this->route(one);
            return;
        }
    }
    this->finish(message.response.id, message.response);
}

void ingress_duty::take_broken_link(host_id host) {
    std::vector<request_id> affected;
    for (const auto& [id, one] : this->waiting_requests) {
        if (one.host == host) {
            affected.push_back(id);
        }
    }
    for (const request_id id : affected) {
        request::routed_response response;
        response.id = id;
        response.outcome = outcome::unknown;
        response.refusal = refusal::link_lost;
        this->finish(id, response);
    }
}

void ingress_duty::refuse(request_id id, refusal reason) {
    this->finish(id, refused(id, reason));
}

void ingress_duty::finish(
    request_id id, const request::routed_response& response
) {
    const auto found = this->waiting_requests.find(id);
    pending one = std::move(found->second);
    this->waiting_requests.erase(found);
    this->request_of.erase(one.exchange);
    const auto [first, last] = this->deadlines.equal_range(one.deadline);
    for (auto place = first; place != last; ++place) {
        if (place->second == id) {
            this->deadlines.erase(place);
            break;
        }
    }
    ++this->outcomes[std::string{to_string(response.outcome)}];
    if (response.refusal != refusal::none) {
        ++this->outcomes[std::string{to_string(response.refusal)}];
    }
    if (response.outcome == outcome::answered) {
        metrics::record(
            this->answered_latency, boot_clock::now() - one.started
        );
    }
    this->server->reply(one.exchange, internal::response_to_caller(response));
}

void ingress_duty::caller_hung_up(http::exchange_id exchange) {
    const auto found = this->request_of.find(exchange);
    if (found == this->request_of.end()) {
        return;
    }
    const request_id id = found->second;
    const host_id host = this->waiting_requests.at(id).host;
    const host_id self = this->wiring.state.view.load()->self.host;
    if (host == self) {
        this->wiring.dispatch.push(cancelled_work{{}, id});
    } else {
        this->wiring.links.push(outgoing_cancel{host, id});
    }
    request::routed_response response;
    response.id = id;
    response.refusal = refusal::cancelled;
    this->finish(id, response);
}

void ingress_duty::expire() {
    const instant now = boot_clock::now();
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const request_id id = this->deadlines.begin()->second;
        request::routed_response response;
        response.id = id;
        response.outcome = outcome::unknown;
        response.refusal = refusal::deadline_passed;
        this->finish(id, response);
    }
}

nlohmann::json ingress_duty::description() const {
    nlohmann::json result;
    result["waiting_requests"] = this->waiting_requests.size();
    result["late_responses"] = this->late_responses;
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

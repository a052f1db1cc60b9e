// Queueing, the last check before dispatch, and calls to upstreams.

#include <apricotstile/daemon/dispatch_duty.hpp>

#include <apricotstile/daemon/internal/local_upstream.hpp>
#include <apricotstile/daemon/internal/owner_lookup.hpp>
#include <apricotstile/daemon/internal/upstream_protocol.hpp>
#include <apricotstile/log/logger.hpp>

#include <algorithm>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;
using internal::local_upstream;
using request::outcome;
using request::refusal;

constexpr std::size_t inbox_capacity = 65536;
constexpr std::size_t max_waiting_work = 1024;
constexpr std::size_t side_connections = 2;
constexpr auto check_interval = 20ms;
constexpr duration announcement_timeout = 2s;
constexpr duration refusal_pause = 100ms;
constexpr auto log_prefix = "upstream";
constexpr std::uint16_t status_malformed = 400;
constexpr std::uint16_t status_not_found = 404;

instant deadline_of(const incoming_work& work) {
    return work.received_at + work.request.time_left;
}

} // namespace

dispatch_duty::dispatch_duty(const dispatch_wiring& parts)
    : duty("dispatch"), messages(inbox_capacity), wiring(parts) {}

dispatch_duty::~dispatch_duty() = default;

void dispatch_duty::set_up() {
    this->messages.open(this->context(), [this](dispatch_message&& message) {
        if (auto* work = std::get_if<incoming_work>(&message)) {
            this->take_work(std::move(*work));
        } else if (auto* gone = std::get_if<cancelled_work>(&message)) {
            this->cancel(*gone);
        }
    });
    this->announcements = std::make_unique<http::server>(
        http::server_limits{},
        [this](http::exchange_id exchange, http::http_request&& message) {
            this->take_announcement(exchange, message);
        },
        [](http::exchange_id) {}
    );
    this->announcements->listen_on(this->wiring.upstreams);
    this->timer = std::make_unique<QTimer>();
    this->timer->setInterval(check_interval);
    QObject::connect(
        this->timer.get(),
        &QTimer::timeout,
        this->context(),
        [this] {
            this->check_upstreams();
        }
    );
    this->timer->start();
}

void dispatch_duty::tear_down() {
    this->timer.reset();
    this->announcements.reset();
    this->upstreams.clear();
}

std::size_t dispatch_duty::unfinished() {
    std::size_t count = 0;
    this->run([&] {
        count = this->queue.size() + this->running.size();
    });
    return count;
}

void dispatch_duty::take_announcement(
    http::exchange_id exchange, const http::http_request& message
) {
    http::http_response response;
    response.body = "{}";
    const auto said = message.method == "POST" && message.path == "/announce"
                          ? internal::parse_announcement(message.body)
                          : std::nullopt;
    if (!said) {
        response.status =
            message.path == "/announce" ? status_malformed : status_not_found;
        this->announcements->reply(exchange, response);
        return;
    }
    const auto [found, added] = this->upstreams.try_emplace(said->address);
    local_upstream& upstream = found->second;
    if (added || upstream.said.max_at_once != said->max_at_once) {
        upstream.pool = std::make_unique<http::client_pool>(
            said->address, said->max_at_once
        );
        upstream.side_pool = std::make_unique<http::client_pool>(
            said->address, side_connections
        );
        log::write(
            log::level::info,
            log_prefix,
            "Upstream announced itself.",
            {{"address", to_string(said->address)},
             {"max_at_once", std::to_string(said->max_at_once)}}
        );
    }
    upstream.said = *said;
    upstream.last_heard = boot_clock::now();
    this->announcements->reply(exchange, response);
    this->publish_services();
    this->start_waiting();
}

void dispatch_duty::publish_services() {
    std::vector<announced_service> services;
    for (const auto& [where, upstream] : this->upstreams) {
        if (upstream.said.leaving) {
            continue;
        }
        for (announced_service service : upstream.said.services) {
            const auto fencing =
                this->wiring.fencing_of.find(service.service.service);
            service.service.checks_tokens =
                fencing != this->wiring.fencing_of.end() &&
                fencing->second == settings::fencing::checked;
            services.push_back(std::move(service));
        }
    }
    if (services != this->published) {
        this->published = services;
        this->wiring.control.push(served_services{std::move(services)});
    }
}

local_upstream* dispatch_duty::upstream_for(const service_id& service) {
    for (auto& [where, upstream] : this->upstreams) {
        const bool serves = std::any_of(
            upstream.said.services.begin(),
            upstream.said.services.end(),
            [&](const announced_service& one) {
                return one.service.service == service;
            }
        );
        if (serves) {
            return &upstream;
        }
    }
    return nullptr;
}

refusal
dispatch_duty::may_dispatch(const incoming_work& work, instant now) const {
    if (now >= deadline_of(work)) {
        return refusal::deadline_passed;
    }
    const auto view = this->wiring.state.view.load();
    const internal::owner_result owner =
        internal::find_owner(*view, work.request.service, work.request.key);
    if (owner.refusal != refusal::none) {
        return owner.refusal;
    }
    if (owner.assignment.owner != view->self) {
        return refusal::not_owner;
    }
    if (now >= this->wiring.state.lease_valid_until.load()) {
        return refusal::lease_expired;
    }
    return refusal::none;
}

void dispatch_duty::take_work(incoming_work&& work) {
    const refusal reason = this->may_dispatch(work, boot_clock::now());
    if (reason != refusal::none) {
        this->refuse(work, reason);
        return;
    }
    if (this->queue.size() >= max_waiting_work) {
        this->refuse(work, refusal::overloaded);
        return;
    }
    this->queue.push_back(std::move(work));
    this->start_waiting();
}

void dispatch_duty::start_waiting() {
    while (!this->queue.empty()) {
        incoming_work& first = this->queue.front();
        local_upstream* const upstream =
            this->upstream_for(first.request.service);
        if (upstream != nullptr && !upstream->pool->has_room()) {
            return;
        }
        incoming_work work = std::move(first);
        this->queue.pop_front();
        // Checked again here: the lease may have run out while it waited.
        const refusal reason = this->may_dispatch(work, boot_clock::now());
        if (reason != refusal::none) {
            this->refuse(work, reason);
        } else if (upstream == nullptr) {
            this->refuse(work, refusal::upstream_lost);
        } else {
            this->dispatch(std::move(work), *upstream);
        }
    }
}

void dispatch_duty::dispatch(incoming_work&& work, local_upstream& upstream) {
    const auto view = this->wiring.state.view.load();
    const internal::owner_result owner =
        internal::find_owner(*view, work.request.service, work.request.key);
    const duration time_left = deadline_of(work) - boot_clock::now();
    const http::http_request request = internal::upstream_request(
        work, owner.slice, owner.assignment.token, time_left
    );
    const work_key key{work.origin.connection, work.request.id};
    ++this->dispatched;
    running_work& entry = this->running[key];
    entry.work = std::move(work);
    entry.upstream = upstream.said.address;
    entry.exchange = upstream.pool->start(
        request,
        time_left,
        [this, key](http::exchange_result&& result) {
            this->finished(key, std::move(result));
        }
    );
}

void dispatch_duty::finished(
    const work_key& key, http::exchange_result&& result
) {
    const auto found = this->running.find(key);
    const running_work ended = std::move(found->second);
    this->running.erase(found);
    this->answer(
        ended.work.origin,
        internal::response_of(ended.work.request.id, std::move(result))
    );
    this->start_waiting();
}

void dispatch_duty::cancel(const cancelled_work& message) {
    ++this->cancelled;
    const auto waiting = std::find_if(
        this->queue.begin(),
        this->queue.end(),
        [&](const incoming_work& one) {
            return one.request.id == message.id &&
                   one.origin.connection == message.origin.connection;
        }
    );
    if (waiting != this->queue.end()) {
        this->queue.erase(waiting);
        return;
    }
    const auto found =
        this->running.find({message.origin.connection, message.id});
    if (found == this->running.end()) {
        return;
    }
    const auto upstream = this->upstreams.find(found->second.upstream);
    if (upstream == this->upstreams.end() ||
        !upstream->second.side_pool->has_room()) {
        return;
    }
    http::http_request request;
    request.method = "POST";
    request.path = "/cancel";
    request.query = "id=" + internal::upstream_request_id(found->second.work);
    upstream->second.side_pool->start(
        request, announcement_timeout, [](http::exchange_result&&) {}
    );
}

void dispatch_duty::answer(
    const request_origin& origin, request::routed_response&& response
) {
    const auto view = this->wiring.state.view.load();
    response.responder_map =
        view->map == nullptr ? map_version{} : view->map->version;
    if (response.refusal != refusal::none) {
        ++this->refusals[std::string{to_string(response.refusal)}];
    }
    if (origin.connection == 0) {
        this->wiring.ingress.push(finished_request{
            view->self.host, std::move(response)});
    } else {
        this->wiring.links.push(outgoing_response{origin, std::move(response)});
    }
}

void dispatch_duty::refuse(const incoming_work& work, refusal reason) {
    request::routed_response response;
    response.id = work.request.id;
    response.outcome = outcome::not_run;
    response.refusal = reason;
    response.retry_after = refusal_pause;
    this->answer(work.origin, std::move(response));
}

void dispatch_duty::check_upstreams() {
    const instant now = boot_clock::now();
    bool changed = false;
    for (auto place = this->upstreams.begin();
         place != this->upstreams.end();) {
        const bool silent =
            now - place->second.last_heard > announcement_timeout;
        if (silent && place->second.pool->running() == 0) {
            log::write(
                log::level::warning,
                log_prefix,
                "Upstream fell silent.",
                {{"address", to_string(place->first)}}
            );
            place = this->upstreams.erase(place);
            changed = true;
        } else {
            ++place;
        }
    }
    if (changed) {
        this->publish_services();
    }
    this->start_waiting();
}

nlohmann::json dispatch_duty::description() const {
    nlohmann::json result;
    result["queued"] = this->queue.size();
    result["running"] = this->running.size();
    result["dispatched"] = this->dispatched;
    result["cancelled"] = this->cancelled;
    result["refusals"] = this->refusals;
    result["inbox"] = this->messages.size();
    result["inbox_refused"] = this->messages.refused_count();
    result["upstreams"] = nlohmann::json::object();
    for (const auto& [where, upstream] : this->upstreams) {
        result["upstreams"][to_string(where)] = {
            {"leaving", upstream.said.leaving},
            {"max_at_once", upstream.said.max_at_once},
            {"running", upstream.pool->running()},
            {"idle_connections", upstream.pool->idle()},
            {"timed_out", upstream.pool->timed_out()}};
    }
    return result;
}

} // namespace apricotstile::daemon

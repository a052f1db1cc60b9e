// Queueing, the last check before dispatch and the calls themselves.

#include <apricotstile/daemon/dispatch_duty.hpp>

#include <apricotstile/daemon/internal/local_upstream.hpp>
#include <apricotstile/daemon/internal/upstream_protocol.hpp>

#include <algorithm>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;
using internal::local_upstream;
using request::outcome;
using request::refusal;

constexpr std::size_t inbox_capacity = 65536;
constexpr std::size_t max_waiting_work = 1024;
constexpr auto check_interval = 20ms;
constexpr duration cancel_timeout = 2s;
constexpr duration refusal_pause = 100ms;

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
        } else if (auto* owned = std::get_if<owner_changed>(&message)) {
            this->owner = std::move(owned->owner);
            this->start_waiting();
        } else if (auto* stop = std::get_if<assignment::stop_dispatching>(&message)) {
            this->draining[stop->range] = stop->attempt;
            this->report_drained();
        }
    });
    this->announcements = std::make_unique<http::server>(
        http::server_limits{},
        [this](http::exchange_id exchange, http::http_request&& message) {
            this->take_announcement(exchange, message);
        },
        [](http::exchange_id) {}
    );
    this->load_since = boot_clock::now();
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

bool dispatch_duty::checks_tokens(const service_id& service) const {
    const auto found = this->wiring.fencing_of.find(service);
    return found != this->wiring.fencing_of.end() &&
           found->second == settings::fencing::checked;
}

assignment::dispatch_decision
dispatch_duty::decide(const incoming_work& work, instant now) const {
    const auto view = this->wiring.state.view.load();
    if (this->owner == nullptr || view->map == nullptr) {
        return {};
    }
    return assignment::decide_dispatch(
        {*view->map, *this->owner, this->wiring.state.lease_valid_until.load()},
        work.request.service,
        work.request.key,
        now
    );
}

bool dispatch_duty::refuse_if_useless(
    const incoming_work& work,
    const assignment::dispatch_decision& decision,
    instant now
) {
    using assignment::dispatch_verdict;
    if (now >= deadline_of(work)) {
        this->refuse(work, refusal::deadline_passed);
        return true;
    }
    if (decision.verdict == dispatch_verdict::not_owner ||
        decision.verdict == dispatch_verdict::drained) {
        this->refuse(work, refusal::not_owner);
        return true;
    }
    return false;
}

void dispatch_duty::take_work(incoming_work&& work) {
    const instant now = boot_clock::now();
    if (this->refuse_if_useless(work, this->decide(work, now), now)) {
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
    std::deque<incoming_work> held;
    while (!this->queue.empty()) {
        incoming_work work = std::move(this->queue.front());
        this->queue.pop_front();
        // Decided again here: the lease may have run out, or the range may
        // have gone, while the request waited.
        const instant now = boot_clock::now();
        const assignment::dispatch_decision decision = this->decide(work, now);
        if (this->refuse_if_useless(work, decision, now)) {
            continue;
        }
        local_upstream* const upstream =
            this->upstream_for(work.request.service);
        if (upstream == nullptr) {
            this->refuse(work, refusal::upstream_lost);
            continue;
        }
        const bool ready =
            decision.verdict == assignment::dispatch_verdict::serve &&
            this->is_granted(*upstream, decision) && upstream->pool->has_room();
        if (ready) {
            this->dispatch(std::move(work), *upstream, decision);
        } else {
            held.push_back(std::move(work));
        }
    }
    this->queue = std::move(held);
}

void dispatch_duty::dispatch(
    incoming_work&& work,
    local_upstream& upstream,
    const assignment::dispatch_decision& decision
) {
    const duration time_left = deadline_of(work) - boot_clock::now();
    const http::http_request request = internal::upstream_request(
        work, decision.range.slice, decision.token, time_left
    );
    const work_key key{work.origin.connection, work.request.id};
    ++this->dispatched;
    ++this->load[decision.range];
    running_work& entry = this->running[key];
    entry.work = std::move(work);
    entry.range = decision.range;
    entry.upstream = upstream.said.address;
    entry.exchange = upstream.pool->start(
        request,
        time_left,
        [this, key](http::exchange_result&& result) {
            this->finished(key, std::move(result));
        }
    );
}

bool dispatch_duty::is_running(const assignment::range_id& range) const {
    return std::any_of(
        this->running.begin(),
        this->running.end(),
        [&](const auto& entry) {
            const running_work& one = entry.second;
            const bool same_key = !range.key.empty() &&
                                  one.work.request.service == range.service &&
                                  one.work.request.key == range.key;
            return one.range == range || same_key;
        }
    );
}

void dispatch_duty::report_drained() {
    for (auto place = this->draining.begin(); place != this->draining.end();) {
        if (this->is_running(place->first)) {
            ++place;
            continue;
        }
        this->wiring.control.push(assignment::range_drained{
            place->first, place->second});
        place = this->draining.erase(place);
    }
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
    this->report_drained();
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
        request, cancel_timeout, [](http::exchange_result&&) {}
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

nlohmann::json dispatch_duty::description() const {
    nlohmann::json result;
    result["ranges_draining"] = this->draining.size();
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
            {"granted_ranges", upstream.granted.size()},
            {"running", upstream.pool->running()},
            {"idle_connections", upstream.pool->idle()},
            {"timed_out", upstream.pool->timed_out()}};
    }
    return result;
}

} // namespace apricotstile::daemon

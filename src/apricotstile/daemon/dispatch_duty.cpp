// Requests on the owner's side: decisions, calls and answers.

#include <apricotstile/daemon/dispatch_duty.hpp>

#include <apricotstile/daemon/internal/local_upstream.hpp>
#include <apricotstile/daemon/internal/upstream_protocol.hpp>
#include <apricotstile/request/request_snapshot.hpp>

#include <algorithm>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;
using assignment::dispatch_verdict;
using internal::local_upstream;
using request::outcome;
using request::refusal;

constexpr std::size_t inbox_capacity = 65536;
constexpr std::size_t max_held_work = 1024;
constexpr std::size_t max_handovers = 1024;
constexpr auto check_interval = 10ms;
constexpr duration cancel_timeout = 2s;

instant deadline_of(const incoming_work& work) {
    return work.received_at + work.request.time_left;
}

} // namespace

dispatch_duty::dispatch_duty(const dispatch_wiring& parts)
    : duty("dispatch"), messages(inbox_capacity), wiring(parts) {}

dispatch_duty::~dispatch_duty() = default;

void dispatch_duty::set_up() {
    this->messages.open(this->context(), [this](dispatch_message&& message) {
        this->take(std::move(message));
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
    this->messages.close();
    this->timer.reset();
    this->announcements.reset();
    this->upstreams.clear();
}

std::size_t dispatch_duty::unfinished() {
    std::size_t count = 0;
    this->run([&] {
        count = this->held.size() + this->works.size();
    });
    return count;
}

void dispatch_duty::take(dispatch_message&& message) {
    if (auto* work = std::get_if<incoming_work>(&message)) {
        this->take_work(std::move(*work));
    } else if (auto* gone = std::get_if<cancelled_work>(&message)) {
        this->cancel(*gone);
    } else if (auto* owned = std::get_if<owner_changed>(&message)) {
        this->owner = std::move(owned->owner);
        this->retry_held();
    } else if (auto* stop = std::get_if<assignment::stop_dispatching>(&message)) {
        this->draining[stop->range] = stop->attempt;
        for (auto& [where, upstream] : this->upstreams) {
            freeze_slice(
                upstream.dispatcher.memory,
                {stop->range.service, stop->range.slice}
            );
        }
        this->report_drained();
    } else if (auto* resume = std::get_if<assignment::resume_dispatching>(&message)) {
        this->draining.erase(resume->range);
        for (auto& [where, upstream] : this->upstreams) {
            resume_slice(
                upstream.dispatcher.memory,
                {resume->range.service, resume->range.slice}
            );
        }
        this->retry_held();
    } else if (auto* released = std::get_if<assignment::range_released>(&message)) {
        this->hand_over(*released, boot_clock::now());
    } else if (auto* memory = std::get_if<request::slice_handover>(&message)) {
        if (this->handovers.size() < max_handovers) {
            this->handovers.emplace_back(boot_clock::now(), std::move(*memory));
        }
        this->take_handovers(boot_clock::now());
    } else if (auto* report = std::get_if<upstream::crash_report>(&message)) {
        for (auto& [where, upstream] : this->upstreams) {
            merge(upstream.dispatcher.quarantine, *report, boot_clock::now());
        }
    }
}

assignment::dispatch_decision dispatch_duty::decide(
    const service_id& service, const std::string& key, instant now
) const {
    const auto view = this->wiring.state.view.load();
    if (this->owner == nullptr || view->map == nullptr) {
        return {};
    }
    return assignment::decide_dispatch(
        {*view->map, *this->owner, this->wiring.state.lease_valid_until.load()},
        service,
        key,
        now
    );
}

bool dispatch_duty::still_owns(const upstream::dispatch_work& work, instant now)
    const {
    if (!work.requires_owner) {
        return true;
    }
    const assignment::dispatch_decision decision =
        this->decide(work.request.service, work.request.key, now);
    return decision.verdict == dispatch_verdict::serve &&
           decision.token == work.token;
}

void dispatch_duty::take_work(incoming_work&& work) {
    const instant now = boot_clock::now();
    if (now >= deadline_of(work)) {
        this->refuse(work, refusal::deadline_passed);
        return;
    }
    local_upstream* const upstream = this->upstream_for(work.request.service);
    if (upstream == nullptr) {
        this->refuse(work, refusal::upstream_lost);
        return;
    }
    const bool wants_ticket = work.request.ticket == request::ticket_wanted;
    const bool owned = upstream->is_keyed(work.request.service) ||
                       !work.request.idempotent || wants_ticket;
    if (!owned) {
        this->offer(std::move(work), *upstream, {});
        return;
    }
    const assignment::dispatch_decision decision =
        this->decide(work.request.service, work.request.key, now);
    const bool may_serve = decision.verdict == dispatch_verdict::serve &&
                           this->is_granted(*upstream, decision) &&
                           !this->awaits_handover(work.request, decision, now);
    if (decision.verdict == dispatch_verdict::not_owner ||
        decision.verdict == dispatch_verdict::drained) {
        this->refuse(work, refusal::not_owner);
    } else if (may_serve) {
        if (wants_ticket) {
            this->issue_ticket(work, *upstream, decision);
            return;
        }
        this->offer(std::move(work), *upstream, decision);
    } else if (this->held.size() < max_held_work) {
        this->held.push_back(std::move(work));
    } else {
        this->refuse(work, refusal::overloaded);
    }
}

void dispatch_duty::retry_held() {
    std::deque<incoming_work> waiting;
    waiting.swap(this->held);
    for (incoming_work& work : waiting) {
        this->take_work(std::move(work));
    }
}

void dispatch_duty::offer(
    incoming_work&& work,
    local_upstream& upstream,
    const assignment::dispatch_decision& decision
) {
    this->last_work = next(this->last_work);
    const upstream::work_id id = this->last_work;
    this->works[id] = {
        work.origin, upstream.said.address, decision.range, {}, false};
    this->work_of[{work.origin.connection, work.request.id}] = id;
    upstream::dispatch_work offered;
    offered.id = id;
    offered.ingress_host = work.origin.host;
    offered.deadline = deadline_of(work);
    offered.request = std::move(work.request);
    offered.requires_owner = decision.verdict == dispatch_verdict::serve;
    offered.slice = decision.range.slice;
    offered.token = decision.token;
    this->perform(
        upstream,
        receive(upstream.dispatcher, std::move(offered), boot_clock::now())
    );
}

void dispatch_duty::perform(
    local_upstream& upstream, const upstream::dispatch_actions& actions
) {
    for (const upstream::dispatch_action& one : actions) {
        if (const auto* start = std::get_if<upstream::call_upstream>(&one)) {
            this->call(upstream, start->id);
        } else if (const auto* stop = std::get_if<upstream::cancel_call>(&one)) {
            this->cancel_call(upstream, stop->id);
        } else if (const auto* done = std::get_if<upstream::respond>(&one)) {
            this->respond(*done);
        } else if (const auto* report = std::get_if<upstream::broadcast_report>(&one)) {
            this->wiring.control.push(report->report);
        }
    }
}

void dispatch_duty::call(local_upstream& upstream, upstream::work_id id) {
    const instant now = boot_clock::now();
    const upstream::dispatch_work& work = upstream.dispatcher.work.at(id);
    known_work& known = this->works.at(id);
    instant end = work.deadline;
    if (work.requires_owner && !this->checks_tokens(work.request.service)) {
        // Nothing but the deadline keeps this upstream within the lease.
        end = std::min(end, this->wiring.state.lease_valid_until.load());
    }
    const http::http_request request = internal::upstream_request(
        work, known.origin, std::max(end - now, duration{0})
    );
    ++this->dispatched;
    ++this->load[known.range];
    known.called = true;
    known.exchange = upstream.pool->start(
        request,
        end - now,
        [this, id](http::exchange_result&& result) {
            this->finished(id, std::move(result));
        }
    );
}

void dispatch_duty::finished(
    upstream::work_id id, http::exchange_result&& result
) {
    const auto found = this->works.find(id);
    if (found == this->works.end()) {
        return;
    }
    const auto place = this->upstreams.find(found->second.upstream);
    if (place == this->upstreams.end()) {
        return;
    }
    local_upstream& upstream = place->second;
    if (result.failure == http::exchange_failure::lost) {
        // Perhaps a crash, which concerns everything in flight: find out.
        upstream.lost.push_back(id);
        this->probe(place->first);
        return;
    }
    const upstream::call_result end =
        internal::call_result_of(std::move(result));
    this->perform(
        upstream, call_ended(upstream.dispatcher, id, end, boot_clock::now())
    );
    this->report_drained();
}

void dispatch_duty::cancel(const cancelled_work& message) {
    ++this->cancelled;
    const work_key key{message.origin.connection, message.id};
    const auto waiting = std::find_if(
        this->held.begin(),
        this->held.end(),
        [&](const incoming_work& one) {
            return one.request.id == message.id &&
                   one.origin.connection == message.origin.connection;
        }
    );
    if (waiting != this->held.end()) {
        this->held.erase(waiting);
        return;
    }
    const auto found = this->work_of.find(key);
    if (found == this->work_of.end()) {
        return;
    }
    const auto upstream =
        this->upstreams.find(this->works.at(found->second).upstream);
    if (upstream != this->upstreams.end()) {
        this->perform(
            upstream->second,
            upstream::cancel(
                upstream->second.dispatcher, found->second, boot_clock::now()
            )
        );
    }
}

void dispatch_duty::cancel_call(
    local_upstream& upstream, upstream::work_id id
) {
    const auto found = this->works.find(id);
    if (found == this->works.end() || !upstream.side_pool->has_room()) {
        return;
    }
    http::http_request request;
    request.method = "POST";
    request.path = "/cancel";
    request.query = "id=" + internal::upstream_request_id(
                                found->second.origin,
                                upstream.dispatcher.work.at(id).request.id
                            );
    upstream.side_pool->start(
        request, cancel_timeout, [](http::exchange_result&&) {}
    );
}

bool dispatch_duty::is_running(const assignment::range_id& range) const {
    return std::any_of(
        this->works.begin(),
        this->works.end(),
        [&](const auto& entry) {
            const known_work& one = entry.second;
            const bool same_slice = one.range.service == range.service &&
                                    one.range.slice == range.slice;
            return one.called && same_slice;
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

nlohmann::json dispatch_duty::description() const {
    nlohmann::json result;
    result["held"] = this->held.size();
    result["works"] = this->works.size();
    result["ranges_draining"] = this->draining.size();
    result["dispatched"] = this->dispatched;
    result["cancelled"] = this->cancelled;
    result["memories_handed_over"] = this->handed_over;
    result["memories_taken_over"] = this->taken_over;
    result["refusals"] = this->refusals;
    result["inbox"] = this->messages.size();
    result["inbox_refused"] = this->messages.refused_count();
    result["upstreams"] = nlohmann::json::object();
    const instant now = boot_clock::now();
    for (const auto& [where, upstream] : this->upstreams) {
        result["upstreams"][to_string(where)] =
            internal::describe(upstream, now);
    }
    return result;
}

} // namespace apricotstile::daemon

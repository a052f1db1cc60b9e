// The upstreams beside this daemon: announcements, crashes, the memories of
// their slices and measured load.

#include <apricotstile/daemon/dispatch_duty.hpp>

#include <apricotstile/assignment/load_meter.hpp>
#include <apricotstile/assignment/owner_lookup.hpp>
#include <apricotstile/daemon/internal/local_upstream.hpp>
#include <apricotstile/log/logger.hpp>

#include <algorithm>
#include <utility>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;
using internal::local_upstream;

constexpr std::size_t side_connections = 2;
constexpr duration announcement_timeout = 2s;
constexpr duration probe_timeout = 300ms;
constexpr duration handover_timeout = 5s;
/// How long a request waits for the memory of the owner before.
constexpr duration handover_wait = 1s;
constexpr auto log_prefix = "upstream";
constexpr fencing_token first_token{1};
constexpr std::uint16_t status_malformed = 400;
constexpr std::uint16_t status_not_found = 404;

} // namespace

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
    const bool changed =
        added || upstream.said.max_at_once != said->max_at_once;
    upstream.said = *said;
    upstream.last_heard = boot_clock::now();
    if (changed) {
        this->welcome(found->first, upstream);
    } else if (upstream.died) {
        upstream.died = false;
        upstream.granted.clear();
        this->perform(upstream, ready(upstream.dispatcher, boot_clock::now()));
    }
    this->announcements->reply(exchange, response);
    this->publish_services();
    this->retry_held();
}

void dispatch_duty::welcome(const address& where, local_upstream& upstream) {
    const instant now = boot_clock::now();
    upstream.pool = std::make_unique<http::client_pool>(
        where, upstream.said.max_connections
    );
    upstream.side_pool =
        std::make_unique<http::client_pool>(where, side_connections);
    upstream::admission_policy policy;
    policy.slots = static_cast<std::uint32_t>(upstream.said.max_at_once);
    policy.connections =
        static_cast<std::uint32_t>(upstream.said.max_connections);
    upstream.dispatcher.admission = upstream::make_admission(policy, now);
    upstream.dispatcher.quarantine.self = this->wiring.state.view.load()->self;
    upstream.dispatcher.still_owns =
        [this](const upstream::dispatch_work& work, instant when) {
            return this->still_owns(work, when);
        };
    this->opened.reset();
    log::write(
        log::level::info,
        log_prefix,
        "Upstream announced itself.",
        {{"address", to_string(where)},
         {"max_at_once", std::to_string(upstream.said.max_at_once)}}
    );
}

void dispatch_duty::probe(const address& where) {
    local_upstream& upstream = this->upstreams.at(where);
    if (upstream.probing) {
        return;
    }
    upstream.probing = true;
    // A pool of its own: a probe needs a new connection.
    auto fresh = std::make_shared<http::client_pool>(where, 1);
    http::http_request request;
    request.method = "GET";
    request.path = "/health";
    fresh->start(
        request,
        probe_timeout,
        [this, where, fresh](http::exchange_result&& result) {
            // The pool must outlive its own callback.
            QMetaObject::invokeMethod(
                this->context(), [fresh] {}, Qt::QueuedConnection
            );
            this->take_probe(
                where, result.failure == http::exchange_failure::none
            );
        }
    );
}

void dispatch_duty::take_probe(const address& where, bool alive) {
    const auto found = this->upstreams.find(where);
    if (found == this->upstreams.end()) {
        return;
    }
    local_upstream& upstream = found->second;
    upstream.probing = false;
    const instant now = boot_clock::now();
    std::vector<upstream::work_id> lost;
    lost.swap(upstream.lost);
    if (alive) {
        for (const upstream::work_id id : lost) {
            this->perform(
                upstream, call_ended(upstream.dispatcher, id, {}, now)
            );
        }
    } else {
        upstream.died = true;
        log::write(
            log::level::warning,
            log_prefix,
            "Upstream died with work in flight.",
            {{"address", to_string(where)},
             {"lost", std::to_string(lost.size())}}
        );
        this->perform(upstream, crashed(upstream.dispatcher, now));
    }
    this->report_drained();
}

void dispatch_duty::publish_services() {
    std::vector<member::served_service> services;
    for (const auto& [where, upstream] : this->upstreams) {
        if (upstream.said.leaving) {
            continue;
        }
        for (member::served_service service : upstream.said.services) {
            service.checks_tokens = this->checks_tokens(service.service);
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
            [&](const member::served_service& one) {
                return one.service == service;
            }
        );
        if (serves) {
            return &upstream;
        }
    }
    return nullptr;
}

void dispatch_duty::check_upstreams() {
    const instant now = boot_clock::now();
    bool changed = false;
    for (auto place = this->upstreams.begin();
         place != this->upstreams.end();) {
        const bool silent =
            now - place->second.last_heard > announcement_timeout;
        if (silent && place->second.dispatcher.work.empty()) {
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
    this->open_owned_slices(now);
    this->take_handovers(now);
    for (auto& [where, upstream] : this->upstreams) {
        upstream.dispatcher.quarantine.self =
            this->wiring.state.view.load()->self;
        this->grant(upstream, now);
        this->perform(upstream, tick(upstream.dispatcher, now));
    }
    this->report_load();
    this->report_drained();
    this->retry_held();
}

void dispatch_duty::open_owned_slices(instant now) {
    const auto view = this->wiring.state.view.load();
    if (view->map == nullptr || view->map == this->opened) {
        return;
    }
    const auto before = std::exchange(this->opened, view->map);
    this->expect_handovers(before.get(), *view, now);
    for (auto& [where, upstream] : this->upstreams) {
        for (const member::served_service& served : upstream.said.services) {
            const auto found = view->map->services.find(served.service);
            if (found == view->map->services.end()) {
                continue;
            }
            const auto& slices = found->second.slices;
            for (std::uint32_t index = 0; index < slices.size(); ++index) {
                if (slices[index].owner != view->self) {
                    continue;
                }
                const auto origin = slices[index].token == first_token
                                        ? request::slice_origin::never_owned
                                        : request::slice_origin::owned_before;
                request::open_slice(
                    upstream.dispatcher.memory,
                    {served.service, {index}},
                    slices[index].token,
                    origin,
                    now
                );
            }
        }
    }
}

void dispatch_duty::expect_handovers(
    const assignment::assignment_map* before,
    const routing_view& view,
    instant now
) {
    if (before == nullptr) {
        return;
    }
    for (const auto& [service, assigned] : view.map->services) {
        const auto known = before->services.find(service);
        if (known == before->services.end()) {
            continue;
        }
        const auto& old_slices = known->second.slices;
        for (std::uint32_t index = 0; index < assigned.slices.size(); ++index) {
            const member::member_ref old_owner = old_slices.at(index).owner;
            const auto record = view.members.find(old_owner.host);
            // One that has left has released the slice before; the map may
            // show it later than that.
            const bool released =
                record != view.members.end() &&
                record->second.self == old_owner &&
                record->second.state != member::member_state::deposed;
            const bool gained = assigned.slices[index].owner == view.self &&
                                old_owner != view.self;
            if (gained && released) {
                this->expected[{service, {index}}] = now + handover_wait;
            }
        }
    }
}

bool dispatch_duty::awaits_handover(
    const request::routed_request& request,
    const assignment::dispatch_decision& decision,
    instant now
) {
    const auto found =
        this->expected.find({request.service, decision.range.slice});
    if (request.idempotent || found == this->expected.end()) {
        return false;
    }
    if (now >= found->second) {
        this->expected.erase(found);
        return false;
    }
    const auto ticket = request::parse_ticket(request.ticket);
    return !ticket || ticket->token != decision.token;
}

void dispatch_duty::hand_over(
    const assignment::range_released& what, instant now
) {
    // The memory is that of the whole slice and stays with its owner when a
    // single key leaves.
    if (!what.range.key.empty()) {
        return;
    }
    if (what.token == fencing_token{}) {
        log::write(
            log::level::warning,
            log_prefix,
            "Slice memory not handed over: the next owner's token is unknown.",
            {{"service", what.range.service.value},
             {"slice", std::to_string(what.range.slice.value)}}
        );
        return;
    }
    for (auto& [where, upstream] : this->upstreams) {
        auto memory = request::hand_over(
            upstream.dispatcher.memory,
            {what.range.service, what.range.slice},
            what.token,
            now
        );
        if (memory) {
            ++this->handed_over;
            this->wiring.control.push(outgoing_handover{
                what.to.host, std::move(*memory)});
        }
    }
}

void dispatch_duty::take_handovers(instant now) {
    std::deque<std::pair<instant, request::slice_handover>> waiting;
    waiting.swap(this->handovers);
    this->open_owned_slices(now);
    for (auto& [arrived, memory] : waiting) {
        bool taken = false;
        for (auto& [where, upstream] : this->upstreams) {
            taken = taken ||
                    request::take_over(upstream.dispatcher.memory, memory, now);
        }
        if (taken) {
            ++this->taken_over;
            this->expected.erase({memory.service, memory.slice});
        } else if (now - arrived < handover_timeout) {
            this->handovers.emplace_back(arrived, std::move(memory));
        }
    }
}

void dispatch_duty::report_load() {
    const instant now = boot_clock::now();
    if (now - this->load_since < assignment::report_interval) {
        return;
    }
    const float seconds =
        std::chrono::duration<float>{now - this->load_since}.count();
    this->load_since = now;
    std::map<service_id, assignment::service_load> by_service;
    for (const auto& [range, count] : this->load) {
        assignment::service_load& entry = by_service[range.service];
        const float rate = static_cast<float>(count) / seconds;
        if (range.key.empty()) {
            entry.slices.push_back({range.slice, rate});
        } else {
            entry.keys.push_back({range.key, rate});
        }
    }
    this->load.clear();
    measured_load report;
    for (auto& [service, entry] : by_service) {
        entry.service = service;
        report.services.push_back(std::move(entry));
    }
    this->wiring.control.push(std::move(report));
}

} // namespace apricotstile::daemon

// The fake links, upstreams and ownership around the real decisions.

#include <tests/scenarios/request_world.hpp>

#include <algorithm>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;
using upstream::dispatch_action;
using upstream::dispatch_actions;

constexpr duration service_time = 5ms;
constexpr std::uint32_t world_slots = 2;
const request::slice_ref world_slice{service_id{"release"}, slice_id{3}};

void expect(request_world& world, bool holds, const std::string& what) {
    if (!holds && !world.broken) {
        world.broken = what;
    }
}

host_id id_of(std::size_t index) {
    return host_id{index + 1};
}

void check_answer(request_world& world, const request::answer_caller& answer) {
    const std::string name = world.names.at(answer.id);
    world_request& sent = world.requests.at(name);
    ++sent.answers;
    sent.answer = answer;
    if (!answer.ticket.empty()) {
        world.last_ticket = answer.ticket;
    }
    expect(world, sent.answers == 1, "answered twice: " + name);
    const bool blamed = answer.refusal == request::refusal::quarantined;
    expect(world, sent.crashes_upstream || !blamed, "innocent: " + name);
    if (answer.outcome == request::outcome::not_run) {
        expect(world, sent.runs == 0, "ran, told not_run: " + name);
    }
    if (answer.outcome == request::outcome::answered) {
        const std::string whole = "answer to " + sent.content.body;
        expect(world, answer.response->body == whole, "wrong: " + name);
    }
}

void take(request_world& world, const request::ingress_actions& actions);

void apply_event(request_world& world, const request::ingress_event& event) {
    take(world, step(world.ingress, event, world.now));
}

void send_frame(request_world& world, const request::send_to_host& sent) {
    const std::string name = world.names.at(sent.id);
    world.streams[sent.stream] = name;
    world_host& host = *world.hosts.at(sent.host.value - 1);
    if (host.cut) {
        apply_event(world, request::send_failed{sent.stream});
        return;
    }
    request::routed_request frame = world.requests.at(name).content;
    frame.id = sent.stream;
    frame.time_left = sent.time_left;
    host.inbox.push_back(std::move(frame));
}

void find_route(request_world& world, request_id id) {
    const request::route_found route{
        id, id_of(world.owner), {world.token.value}, 0ms};
    apply_event(world, route);
}

void take(request_world& world, const request::ingress_actions& actions) {
    for (const request::ingress_action& action : actions) {
        if (const auto* sent = std::get_if<request::send_to_host>(&action)) {
            send_frame(world, *sent);
        } else if (const auto* route = std::get_if<request::find_route>(&action)) {
            find_route(world, route->id);
        } else if (const auto* answer = std::get_if<request::answer_caller>(&action)) {
            check_answer(world, *answer);
        }
    }
}

bool owns(const request_world& world, const world_host& host) {
    return host.token != fencing_token{} && world.now < host.lease_until;
}

void start_call(request_world& world, world_host& host, upstream::work_id id) {
    const auto& work = host.dispatcher.work.at(id);
    const std::string name = world.streams.at(work.request.id);
    world_request& sent = world.requests.at(name);
    ++sent.runs;
    expect(world, owns(world, host), "called without a lease: " + name);
    expect(world, world.now < work.deadline, "called late: " + name);
    const bool refused =
        sent.answers > 0 && sent.answer.outcome == request::outcome::not_run;
    expect(world, !refused, "ran after not_run: " + name);
    if (!sent.content.idempotent) {
        const int count = ++world.key_runs[sent.content.caller_key.value];
        expect(world, count == 1, "ran twice: " + name);
    }
    host.calls.push_back({id, name, world.now + service_time});
}

void take(
    request_world& world, world_host& host, const dispatch_actions& actions
) {
    for (const dispatch_action& action : actions) {
        if (const auto* call = std::get_if<upstream::call_upstream>(&action)) {
            start_call(world, host, call->id);
        } else if (const auto* done = std::get_if<upstream::respond>(&action)) {
            if (!host.cut) {
                world.to_ingress.push_back(
                    {host.dispatcher.quarantine.self.host, done->response}
                );
            }
        } else if (const auto* spread = std::get_if<upstream::broadcast_report>(&action)) {
            for (const auto& other : world.hosts) {
                merge(other->dispatcher.quarantine, spread->report, world.now);
            }
        }
    }
}

void refuse_not_owner(
    request_world& world,
    const world_host& host,
    const request::routed_request& frame
) {
    request::routed_response response;
    response.id = frame.id;
    response.outcome = request::outcome::not_run;
    response.refusal = request::refusal::not_owner;
    response.responder_map = {host.token.value};
    world.to_ingress.push_back({host.dispatcher.quarantine.self.host, response}
    );
}

void receive_frame(
    request_world& world, world_host& host, const request::routed_request& frame
) {
    if (!owns(world, host)) {
        refuse_not_owner(world, host, frame);
        return;
    }
    upstream::dispatch_work work;
    work.id.value = ++host.last_work;
    work.request = frame;
    work.slice = world_slice.second;
    work.token = host.token;
    work.deadline = world.now + frame.time_left;
    take(world, host, receive(host.dispatcher, work, world.now));
}

void crash_upstream(request_world& world, world_host& host) {
    ++world.upstream_crashes;
    host.calls.clear();
    take(world, host, crashed(host.dispatcher, world.now));
    take(world, host, ready(host.dispatcher, world.now));
}

/// Ends the calls that are done; true when one of them killed the upstream.
bool end_one_call(request_world& world, world_host& host) {
    const auto done = std::find_if(
        host.calls.begin(),
        host.calls.end(),
        [&](const world_call& call) {
            return call.done_at <= world.now;
        }
    );
    if (done == host.calls.end()) {
        return false;
    }
    const world_call call = *done;
    host.calls.erase(done);
    const world_request& sent = world.requests.at(call.name);
    if (sent.crashes_upstream) {
        crash_upstream(world, host);
        return true;
    }
    upstream::call_result result;
    result.end = upstream::call_end::answered;
    result.status = 200;
    result.body = "answer to " + sent.content.body;
    take(world, host, call_ended(host.dispatcher, call.id, result, world.now));
    return true;
}

void run_host(request_world& world, world_host& host) {
    if (host.frozen) {
        return;
    }
    while (!host.inbox.empty()) {
        const request::routed_request frame = host.inbox.front();
        host.inbox.pop_front();
        receive_frame(world, host, frame);
    }
    while (end_one_call(world, host)) {
    }
    take(world, host, tick(host.dispatcher, world.now));
}

void deliver_responses(request_world& world) {
    while (!world.to_ingress.empty()) {
        const request::response_arrived frame = world.to_ingress.front();
        world.to_ingress.pop_front();
        apply_event(world, frame);
    }
}

void renew_lease(request_world& world) {
    world_host& host = *world.hosts.at(world.owner);
    const bool holds = host.token == world.token;
    // One that was paused past its lease and not deposed renews it.
    if (holds && !host.frozen && !host.cut) {
        host.lease_until = world.now + world_lease;
    }
}

/// What a daemon that joins is told by a peer.
std::vector<upstream::crash_report>
reports_of_peer(const request_world& world, std::size_t index) {
    const auto& peer = world.hosts.at((index + 1) % world_hosts);
    return peer ? report_all(peer->dispatcher.quarantine, world.now)
                : std::vector<upstream::crash_report>{};
}

void start_empty(request_world& world, std::size_t index) {
    const auto reports = reports_of_peer(world, index);
    auto& host = world.hosts.at(index);
    host = std::make_unique<world_host>();
    upstream::dispatcher& dispatcher = host->dispatcher;
    upstream::admission_policy policy;
    policy.slots = world_slots;
    policy.warm_up = 0ms;
    dispatcher.admission = upstream::make_admission(policy, world.now);
    dispatcher.quarantine.self = {id_of(index), {++world.incarnations}};
    for (const auto& report : reports) {
        merge(dispatcher.quarantine, report, world.now);
    }
    world_host* const self = host.get();
    dispatcher.still_owns =
        [&world, self](const upstream::dispatch_work& work, instant now) {
            const bool holds =
                work.token == self->token && now < self->lease_until;
            return holds || world.skips_last_check;
        };
}

void open_next_owner(request_world& world, request::slice_origin origin) {
    world_host& host = *world.hosts.at(world.owner);
    host.token = world.token;
    host.lease_until = world.now + world_lease;
    open_slice(
        host.dispatcher.memory, world_slice, world.token, origin, world.now
    );
    apply_event(world, request::map_changed{{world.token.value}});
}

void lose_link(request_world& world, std::size_t index) {
    std::vector<request_id> lost;
    for (const auto& [stream, id] : world.ingress.streams) {
        if (world.ingress.attempts.at(id).host == id_of(index)) {
            lost.push_back(stream);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (const request_id stream : lost) {
        apply_event(world, request::link_lost{stream});
    }
}

/// The first host after the owner that can serve.
void choose_next_owner(request_world& world) {
    for (std::size_t i = 1; i < world_hosts; ++i) {
        const std::size_t index = (world.owner + i) % world_hosts;
        const world_host& host = *world.hosts.at(index);
        if (!host.frozen && !host.cut) {
            world.owner = index;
            break;
        }
    }
    world.token = next(world.token);
}

} // namespace

std::unique_ptr<request_world> make_world() {
    auto world = std::make_unique<request_world>();
    for (std::size_t i = 0; i < world_hosts; ++i) {
        start_empty(*world, i);
    }
    open_next_owner(*world, request::slice_origin::never_owned);
    return world;
}

void send(
    request_world& world, const std::string& name, const world_request& sent
) {
    world.requests[name] = sent;
    world.requests[name].content.service = world_slice.first;
    // Until the name is known under its id nothing may be answered.
    world.names[next(world.ingress.last_id)] = name;
    const request::arrival arrival{
        sent.content.idempotent, true, sent.deadline};
    take(world, arrive(world.ingress, arrival, world.now).actions);
}

void pass(request_world& world, duration time) {
    for (const instant end = world.now + time; world.now < end;) {
        world.now += 1ms;
        renew_lease(world);
        for (const auto& host : world.hosts) {
            run_host(world, *host);
        }
        deliver_responses(world);
        if (next_wake_up(world.ingress) <= world.now) {
            apply_event(world, request::clock_ticked{});
        }
    }
}

void cut(request_world& world, std::size_t host) {
    world.hosts.at(host)->cut = true;
    lose_link(world, host);
}

void heal(request_world& world, std::size_t host) {
    world.hosts.at(host)->cut = false;
}

void freeze(request_world& world, std::size_t host) {
    world.hosts.at(host)->frozen = true;
}

void wake(request_world& world, std::size_t host) {
    world.hosts.at(host)->frozen = false;
}

void lose_owner(request_world& world) {
    const std::size_t lost = world.owner;
    const instant lease_until = world.hosts.at(lost)->lease_until;
    start_empty(world, lost);
    lose_link(world, lost);
    if (world.now < lease_until) {
        pass(world, lease_until - world.now);
    }
    choose_next_owner(world);
    open_next_owner(world, request::slice_origin::owned_before);
}

void depose_owner(request_world& world) {
    const world_host& old = *world.hosts.at(world.owner);
    if (!old.frozen && !old.cut) {
        return;
    }
    while (world.now < old.lease_until) {
        pass(world, 1ms);
    }
    choose_next_owner(world);
    open_next_owner(world, request::slice_origin::owned_before);
}

void move_slice(request_world& world) {
    world_host& old = *world.hosts.at(world.owner);
    if (old.frozen || old.cut || !owns(world, old)) {
        return;
    }
    freeze_slice(old.dispatcher.memory, world_slice);
    while (!old.dispatcher.work.empty()) {
        pass(world, 1ms);
    }
    const fencing_token released_to = next(world.token);
    const auto sent =
        hand_over(old.dispatcher.memory, world_slice, released_to, world.now);
    old.token = {};
    choose_next_owner(world);
    open_next_owner(world, request::slice_origin::owned_before);
    if (sent) {
        upstream::dispatcher& fresh = world.hosts.at(world.owner)->dispatcher;
        take_over(fresh.memory, *sent, world.now);
    }
}

void settle(request_world& world) {
    for (std::size_t i = 0; i < world_hosts; ++i) {
        heal(world, i);
        wake(world, i);
    }
    pass(world, 3s);
    for (const auto& [name, sent] : world.requests) {
        expect(world, sent.answers == 1, "never answered: " + name);
    }
}

} // namespace apricotstile::tests

// What the decisions about one request cost in processor time, and what the
// owner's memory takes for each key that it remembers.

#include <apricotstile/core/random.hpp>
#include <apricotstile/request/ingress.hpp>
#include <apricotstile/request/owner_memory.hpp>
#include <apricotstile/upstream/admission.hpp>
#include <apricotstile/upstream/load_balancer.hpp>
#include <apricotstile/upstream/quarantine.hpp>

#include <fmt/format.h>

#include <malloc.h>

#include <chrono>

using namespace apricotstile;
using namespace std::chrono_literals;

namespace {

constexpr int operations = 200000;
const service_id the_service{"invoicing"};
const request::slice_ref the_slice{the_service, slice_id{3}};

/// Runs `operation` many times and prints its mean duration.
template <class Operation>
void measure(const char* name, Operation operation) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < operations; ++i) {
        operation(i);
    }
    const std::chrono::duration<double, std::nano> taken =
        std::chrono::steady_clock::now() - start;
    fmt::print(
        "{{\"benchmark\":\"request_costs\",\"operation\":\"{}\","
        "\"ns\":{:.0f}}}\n",
        name,
        taken.count() / operations
    );
}

request::keyed_request keyed(int number) {
    request::keyed_request result;
    result.service = the_service;
    result.slice = the_slice.second;
    result.token = {1};
    result.id.customer = {"kadewerk"};
    result.id.key = {fmt::format("invoice-2026-{:012}", number)};
    result.content_hash = static_cast<std::uint64_t>(number);
    return result;
}

request::owner_memory open_memory() {
    request::owner_memory memory;
    memory.policy.max_records = 2 * operations;
    memory.policy.max_answer_bytes = std::size_t{1} << 30U;
    open_slice(
        memory, the_slice, {1}, request::slice_origin::never_owned, instant{}
    );
    return memory;
}

const request::kept_answer short_answer{
    request::outcome::answered,
    request::refusal::none,
    200,
    "application/json",
    std::string(200, 'x')};

void run_keyed(request::owner_memory& memory, int number, instant now) {
    const request::keyed_request one = keyed(number);
    std::ignore = begin(memory, one, now);
    finish(memory, one, short_answer, now);
}

void measure_memory() {
    request::owner_memory memory = open_memory();
    const auto before = mallinfo2().uordblks;
    measure("owner_memory begin and finish, new key", [&](int i) {
        run_keyed(memory, i, instant{1ms * i});
    });
    const auto after = mallinfo2().uordblks;
    fmt::print(
        "{{\"benchmark\":\"request_costs\",\"operation\":"
        "\"owner_memory record with a 200 byte answer\",\"bytes\":{:.0f}}}\n",
        static_cast<double>(after - before) / operations
    );
    measure("owner_memory begin, replay", [&](int i) {
        std::ignore = begin(memory, keyed(i), instant{200s});
    });
    measure("making the keyed request alone", [&](int i) {
        std::ignore = keyed(i);
    });
}

/// What `count` remembered keys take together.
void measure_records(int count) {
    const auto before = mallinfo2().uordblks;
    request::owner_memory memory = open_memory();
    for (int i = 0; i < count; ++i) {
        run_keyed(memory, i, instant{1ms * i});
    }
    const auto after = mallinfo2().uordblks;
    fmt::print(
        "{{\"benchmark\":\"request_costs\",\"operation\":"
        "\"owner_memory records\",\"records\":{},\"bytes\":{}}}\n",
        count,
        after - before
    );
}

void measure_admission() {
    upstream::admission state =
        upstream::make_admission(upstream::admission_policy{}, instant{});
    const instant now{1h};
    measure("admission offer and finished, idle", [&](int i) {
        const upstream::work_id id{static_cast<std::uint64_t>(i)};
        const upstream::offered_work work{
            id, request::work_class::normal, now + 1s, false};
        std::ignore = offer(state, work, now);
        std::ignore =
            finished(state, id, upstream::work_end::answered, now + 1ms);
    });
    const instant deadline = now + 1h;
    constexpr std::uint64_t first = 1000000;
    for (std::uint64_t i = 0; i < state.policy.slots; ++i) {
        const upstream::offered_work work{
            {first + i}, request::work_class::critical, deadline, false};
        std::ignore = offer(state, work, now);
    }
    state.policy.queue_timeout = 0ns;
    state.limit.mean_service_time = 1s;
    measure("admission offer, shed at full load", [&](int i) {
        const upstream::work_id id{static_cast<std::uint64_t>(i)};
        const upstream::offered_work work{
            id, request::work_class::normal, now + 1ms, false};
        std::ignore = offer(state, work, now);
    });
}

void measure_ingress() {
    request::ingress state;
    measure("ingress arrive, route and answer", [&](int i) {
        const instant now{1ms * i};
        const auto arrived =
            request::arrive(state, {true, true, now + 1s}, now);
        std::ignore =
            step(state, request::route_found{arrived.id, {1}, {1}, 0ns}, now);
        request::routed_response whole;
        whole.id = state.attempts.at(arrived.id).stream;
        whole.outcome = request::outcome::answered;
        std::ignore = step(state, request::response_arrived{{1}, whole}, now);
    });
}

void measure_load_balancer(std::uint32_t count) {
    const location here{{"noord"}, {"noord-1"}};
    std::vector<upstream::known_instance> known;
    for (std::uint32_t i = 1; i <= count; ++i) {
        known.push_back({{i}, here, 16, false});
    }
    upstream::load_balancer state;
    state.self = here;
    set_instances(state, the_service, known, instant{});
    random_source random{1};
    const std::string name =
        fmt::format("choose and note_end among {} instances", count);
    measure(name.c_str(), [&](int i) {
        const instant now{1h + 1ms * i};
        const auto chosen = pick_instance(state, the_service, {}, random, now);
        const upstream::send_end end{
            upstream::send_result::answered, 1ms, 1000, 0ns};
        note_end(state, the_service, chosen.host, end, now);
    });
}

void measure_quarantine() {
    upstream::quarantine state;
    const instant now{24h};
    for (std::uint64_t i = 0; i < 100; ++i) {
        std::ignore = upstream_crashed(state, {{{{i}, {i}}, {}}}, now);
    }
    measure("quarantine judge and completed", [&](int i) {
        const upstream::fingerprint hash{static_cast<std::uint64_t>(i) + 1000};
        const upstream::request_identity id{hash, hash};
        std::ignore = decide(state, id, now);
        std::ignore = completed(state, id, now);
    });
    request::routed_request one;
    one.body = std::string(1000, 'x');
    measure("fingerprint of a request of 1000 bytes", [&](int i) {
        one.key = std::to_string(i);
        std::ignore = upstream::identity_of(one);
    });
}

} // namespace

int main() {
    measure_memory();
    for (const int count : {16384, 65536, 131072}) {
        measure_records(count);
    }
    measure_admission();
    measure_ingress();
    for (const std::uint32_t instances : {6U, 100U, 740U}) {
        measure_load_balancer(instances);
    }
    measure_quarantine();
    return 0;
}

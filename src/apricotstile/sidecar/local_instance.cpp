// Admission, start and end of requests at the local instance.

#include <apricotstile/peer/log_format.hpp>
#include <apricotstile/sidecar/internal/local_work.hpp>

#include <apricotstile/log/logger.hpp>

#include <algorithm>
#include <cmath>

namespace apricotstile::sidecar {

namespace {

using namespace std::chrono_literals;
using internal::default_service_time;
using peer::unanswered_response;

constexpr std::uint32_t default_max_connections = 64;

constexpr auto log_prefix = "instance";

} // namespace

local_instance::local_instance(
    const address& where,
    const http::header_names& names,
    net::timer_queue& timers,
    serving::memory_budget& memory,
    key_check holds_key,
    crash_report_handler on_crash_reports,
    leaving_handler on_leaving
)
    : where(where), names(names), timers(timers), memory(memory),
      holds_key(std::move(holds_key)),
      on_crash_reports(std::move(on_crash_reports)),
      on_leaving(std::move(on_leaving)),
      max_connections(default_max_connections) {}

local_instance::~local_instance() {
    for (const auto& one : this->connections) {
        if (one->stream != nullptr) {
            one->stream->abort();
        }
    }
}

void local_instance::set_instance(
    const directory::instance_run& instance, std::uint32_t slots
) {
    this->queue.policy.slots = std::max<std::uint32_t>(slots, 1);
    if (this->instance == instance) {
        return;
    }
    // An instance that starts states its limit before it matters; one that ran
    // before this daemon may have stated it to an earlier run of the daemon.
    const bool is_first = this->instance == directory::instance_run{};
    this->queue.has_answered = !is_first;
    this->instance = instance;
    this->handle_instance_down();
    this->perform_actions(serving::refuse_waiting(this->queue));
    this->times = {};
    this->stated = {};
    this->work_model = {};
    this->leaving = false;
    this->set_rate_limit(std::nullopt);
    // Connections to an earlier run are of no use any more.
    std::vector<connection*> idle;
    for (const auto& one : this->connections) {
        if (one->current == nullptr) {
            idle.push_back(one.get());
        } else {
            one->reusable = false;
        }
    }
    for (connection* const one : idle) {
        this->close_connection(*one);
    }
}

void local_instance::set_open(bool open) {
    if (this->queue.open == open) {
        return;
    }
    if (open) {
        this->queue.open = true;
    } else {
        this->perform_actions(serving::close(this->queue));
    }
}

void local_instance::set_host_counts(
    const std::map<service_id, std::size_t>& hosts
) {
    serving::set_host_counts(this->origins, hosts);
}

void local_instance::set_keyed(bool keyed) {
    this->reports_present_mean = !keyed;
}

void local_instance::set_max_connections(std::uint32_t connections) {
    this->max_connections = std::max<std::uint32_t>(connections, 1);
}

void local_instance::set_region_check(region_check check) {
    this->allows_region = std::move(check);
}

/// Why the request must not reach the instance; nothing if it may.
std::optional<serving::attempt_outcome>
local_instance::refusal_of(const peer::routed_request& request) const {
    if (this->allows_region && !this->allows_region(request)) {
        return serving::attempt_outcome::refused_region;
    }
    if (request.key && !this->holds_key(*request.key)) {
        return serving::attempt_outcome::refused_not_owner;
    }
    return std::nullopt;
}

serving::work_id local_instance::submit(
    peer::routed_request&& request,
    const service_id& caller_service,
    response_handler done
) {
    const instant now = boot_clock::now();
    this->last_id = next(this->last_id);
    auto added = std::make_unique<work>(this->memory);
    work& item = *added;
    item.id = this->last_id;
    item.request = std::move(request);
    item.caller_service = caller_service;
    item.done = std::move(done);
    item.request_id = std::string{
        http::header_value(item.request.headers, this->names.request_id)};
    item.deadline = now + item.request.time_to_deadline;
    item.memory.set(http::memory_of(item.request.headers));
    this->work_items.emplace(item.id, std::move(added));
    const serving::work_id id = item.id;
    if (const auto refusal = this->refusal_of(item.request)) {
        this->finish(item, unanswered_response(*refusal));
        return id;
    }
    item.identity = internal::identity_of(item.request, caller_service);
    const upstream::quarantine_decision decision = upstream::decide(
        this->crash_detector.request_quarantine, item.identity, now
    );
    if (decision.action == upstream::quarantine_action::refuse) {
        this->refuse_quarantined(item, decision);
        return id;
    }
    serving::offered_work& offered = item.offered;
    offered.alone = decision.action == upstream::quarantine_action::run_alone;
    offered.id = item.id;
    serving::note_origin(
        this->origins, item.request.route_hash, item.caller_service
    );
    const serving::request_origin origin =
        serving::origin_of(this->origins, item.request.route_hash);
    offered.nested = origin == serving::request_origin::nested;
    offered.may_be_nested = origin == serving::request_origin::unknown;
    // Only the owner of a key may serve it.
    offered.can_go_elsewhere = !item.request.key;
    offered.priority = item.request.priority;
    offered.target = now + item.request.time_to_target;
    offered.deadline = item.deadline;
    item.features = internal::work_features_of(item.request, caller_service);
    const serving::work_estimate estimate =
        this->estimate(item.request.route_hash, item.features);
    offered.expected = scaled(estimate.expected, this->stated_factor());
    offered.spread = estimate.spread;
    item.timer = this->timers.at(item.deadline, [this, id] {
        this->handle_deadline(id);
    });
    this->perform_actions(serving::offer(this->queue, offered, now));
    return id;
}

std::size_t local_instance::unfinished_answer_bytes() const {
    std::size_t total = 0;
    for (const auto& one : this->connections) {
        total += one->answer_bytes;
    }
    return total;
}

void local_instance::perform_actions(
    const std::vector<serving::work_action>& actions
) {
    for (const serving::work_action& action : actions) {
        const auto found = this->work_items.find(action.id);
        if (found == this->work_items.end()) {
            continue;
        }
        work& item = *found->second;
        switch (action.decision) {
        case serving::work_decision::start:
            this->start(item);
            break;
        case serving::work_decision::refuse_busy:
            this->finish(
                item,
                unanswered_response(
                    serving::attempt_outcome::refused_busy, action.retry_after
                )
            );
            break;
        case serving::work_decision::refuse_closed:
            this->finish(
                item,
                unanswered_response(
                    serving::attempt_outcome::refused_closed, action.retry_after
                )
            );
            break;
        case serving::work_decision::refuse_expired:
            this->finish(
                item,
                unanswered_response(
                    serving::attempt_outcome::refused_busy, action.retry_after
                )
            );
            break;
        }
    }
    this->schedule_start();
}

void local_instance::start(work& item) {
    // The key may have moved while the request waited, or its route may have
    // been restricted.
    if (const auto refusal = this->refusal_of(item.request)) {
        this->finish(item, unanswered_response(*refusal));
        return;
    }
    item.started = boot_clock::now();
    item.usual_start = serving::read_usual_time(this->stated, item.started);
    // Reports of crashes may have arrived while the request waited.
    const upstream::quarantine_decision decision = upstream::decide(
        this->crash_detector.request_quarantine, item.identity, item.started
    );
    if (decision.action == upstream::quarantine_action::refuse) {
        this->refuse_quarantined(item, decision);
        return;
    }
    if (decision.action == upstream::quarantine_action::run_alone &&
        !item.offered.alone) {
        this->offer_alone(item);
        return;
    }
    connection* const idle = this->find_idle_connection(item.request_id);
    this->send(item, idle != nullptr ? *idle : this->open_connection());
}

/// Offers a request again that was to start beside others, but has become
/// suspected of crashing the instance while it waited.
void local_instance::offer_alone(work& item) {
    const instant now = boot_clock::now();
    item.offered.alone = true;
    std::vector<serving::work_action> actions =
        serving::finished(this->queue, item.id, now);
    for (const serving::work_action& one :
         serving::offer(this->queue, item.offered, now)) {
        actions.push_back(one);
    }
    this->perform_actions(actions);
}

void local_instance::finish(work& item, peer::routed_response&& response) {
    const auto found = this->work_items.find(item.id);
    const std::unique_ptr<work> taken = std::move(found->second);
    this->work_items.erase(found);
    this->timers.cancel(taken->timer);
    serving::withdraw(this->queue, taken->id);
    const std::vector<serving::work_action> actions =
        serving::finished(this->queue, taken->id, boot_clock::now());
    if (response.outcome != serving::attempt_outcome::answered) {
        this->log_unserved(*taken, response.outcome);
    }
    taken->done(std::move(response));
    this->perform_actions(actions);
}

/// Logs a refusal or a loss with the load that it was based on.
void local_instance::log_unserved(
    const work& item, serving::attempt_outcome outcome
) const {
    const instant now = boot_clock::now();
    const serving::reported_load current_load = this->load();
    log::write(
        log::level::info,
        log_prefix,
        "Request not served.",
        {{"request", item.request_id},
         {"outcome", std::string{serving::name_of(outcome)}},
         {"instance", this->instance.id},
         {"fingerprint", std::to_string(item.identity.content.value)},
         {"key", item.request.key ? std::to_string(*item.request.key) : "none"},
         {"left_ms", peer::millis_text(item.deadline - now)},
         {"running", std::to_string(current_load.running)},
         {"waiting", std::to_string(current_load.waiting)},
         {"slots", std::to_string(current_load.slots)},
         {"mean_ms", peer::millis_text(current_load.mean_service_time)}}
    );
}

void local_instance::handle_deadline(serving::work_id id) {
    const auto found = this->work_items.find(id);
    if (found == this->work_items.end()) {
        return;
    }
    work& item = *found->second;
    if (item.conn == nullptr) {
        this->finish(
            item, unanswered_response(serving::attempt_outcome::refused_busy)
        );
        return;
    }
    this->note_unanswered(item, upstream::request_loss::given_up);
    connection& conn = *item.conn;
    item.conn = nullptr;
    conn.current = nullptr;
    this->close_connection(conn);
    this->finish(
        item, unanswered_response(serving::attempt_outcome::timed_out)
    );
}

void local_instance::withdraw(serving::work_id id) {
    const auto found = this->work_items.find(id);
    if (found == this->work_items.end()) {
        return;
    }
    work& item = *found->second;
    log::write(
        log::level::info,
        log_prefix,
        "Request withdrawn.",
        {{"request", item.request_id},
         {"sent", item.conn != nullptr ? "yes" : "no"},
         {"left_ms", peer::millis_text(item.deadline - boot_clock::now())}}
    );
    if (item.conn != nullptr) {
        this->note_unanswered(item, upstream::request_loss::given_up);
        connection& conn = *item.conn;
        conn.current = nullptr;
        item.conn = nullptr;
        this->close_connection(conn);
    }
    item.done = [](peer::routed_response&&) {};
    this->finish(item, unanswered_response(serving::attempt_outcome::lost));
}

serving::reported_load local_instance::load() const {
    serving::reported_load result;
    result.slots =
        static_cast<std::uint32_t>(std::lround(this->usable_slots()));
    result.running = static_cast<std::uint32_t>(this->queue.running.size());
    result.waiting = static_cast<std::uint32_t>(this->queue.waiting.size());
    // For keyed services the factor is left out: a noisy neighbor lasts for
    // less than a second, and a higher mean would move keys away.
    result.mean_service_time =
        this->reports_present_mean
            ? scaled(this->times.overall_mean, this->stated_factor())
            : this->times.overall_mean;
    constexpr double thousand = 1000;
    result.failures_per_thousand = static_cast<std::uint32_t>(
        serving::failure_ratio_now(this->times, boot_clock::now()) * thousand
    );
    return result;
}

serving::work_estimate local_instance::estimate(
    std::uint32_t route, const serving::work_features& features
) const {
    const auto known =
        serving::estimate_work(this->work_model, route, features);
    if (known) {
        return *known;
    }
    serving::work_estimate unknown;
    unknown.expected = this->times.overall_mean == duration{0}
                           ? default_service_time
                           : this->times.overall_mean;
    return unknown;
}

duration local_instance::expected_service_time(
    const peer::routed_request& request, const service_id& caller_service
) const {
    const auto features = internal::work_features_of(request, caller_service);
    return this->estimate(request.route_hash, features).expected;
}

bool local_instance::may_be_nested(std::uint32_t route) const {
    return serving::origin_of(this->origins, route) !=
           serving::request_origin::callers;
}

std::size_t local_instance::unfinished() const {
    return this->work_items.size();
}

instant local_instance::last_answer() const {
    return this->answered_at;
}

std::size_t local_instance::open_connections() const {
    return this->connections.size();
}

} // namespace apricotstile::sidecar

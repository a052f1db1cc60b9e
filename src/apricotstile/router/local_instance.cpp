// Exchanges with the instance. An answer is passed on only when it is whole
// and says that it belongs to the request.

#include <apricotstile/router/local_instance.hpp>

#include <apricotstile/http/message_reader.hpp>
#include <apricotstile/log/logger.hpp>
#include <apricotstile/net/stream.hpp>

#include <algorithm>
#include <array>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t max_answer_bytes = 16U << 20U;
constexpr duration open_timeout = 1s;
/// Where an instance doesn't say how long it keeps idle connections.
constexpr duration assumed_idle_timeout = 4s;
/// An idle connection is given up this long before the instance closes it.
constexpr duration idle_margin = 1500ms;
constexpr std::uint32_t assumed_max_connections = 64;
constexpr duration fallback_service_time = 50ms;
constexpr std::uint16_t status_misdirected = 421;
constexpr std::uint16_t first_server_error = 500;
constexpr std::uint16_t first_redirect = 300;
constexpr std::uint16_t first_success = 200;
constexpr auto log_prefix = "instance";

bool is_success(std::uint16_t status) {
    return status >= first_success && status < first_redirect;
}

routed_response without_answer(
    serving::attempt_outcome outcome, duration retry_after = duration{0}
) {
    routed_response response;
    response.outcome = outcome;
    response.retry_after = retry_after;
    return response;
}

std::string millis_text(duration value) {
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return std::to_string(std::max<std::int64_t>(millis, 1));
}

} // namespace

struct local_instance::work {
    serving::work_id id;
    routed_request request;
    service_id caller_service;
    response_handler done;
    std::string request_id;
    instant deadline;
    instant started;
    net::timer_id timer;
    /// While it runs.
    connection* on{nullptr};
};

struct local_instance::connection {
    net::stream* stream{nullptr};
    http::response_reader reader{max_answer_bytes};
    /// The work whose answer is awaited; null while idle.
    work* current{nullptr};
    bool open{false};
    /// Whether an earlier exchange was made on it.
    bool used{false};
    /// Whether it may carry another exchange.
    bool reusable{true};
    duration idle_timeout{assumed_idle_timeout};
    instant idle_since;
};

local_instance::local_instance(
    const address& where,
    const wire_names& names,
    net::timer_queue& timers,
    key_check holds_key
)
    : where(where), names(names), timers(timers),
      holds_key(std::move(holds_key)),
      max_connections(assumed_max_connections) {}

local_instance::~local_instance() {
    for (const auto& one : this->connections) {
        if (one->stream != nullptr) {
            one->stream->abort();
        }
    }
}

void local_instance::set_instance(
    const directory::instance_life& life, std::uint32_t slots
) {
    this->queue.policy.slots = std::max<std::uint32_t>(slots, 1);
    if (this->life == life) {
        return;
    }
    this->life = life;
    this->perform(serving::close(this->queue));
    this->times = {};
    // Connections to an earlier life lead nowhere.
    std::vector<connection*> idle;
    for (const auto& one : this->connections) {
        if (one->current == nullptr) {
            idle.push_back(one.get());
        } else {
            one->reusable = false;
        }
    }
    for (connection* const one : idle) {
        this->drop(*one);
    }
}

void local_instance::set_open(bool open) {
    if (this->queue.open == open) {
        return;
    }
    if (open) {
        this->queue.open = true;
    } else {
        this->perform(serving::close(this->queue));
    }
}

void local_instance::set_max_connections(std::uint32_t connections) {
    this->max_connections = std::max<std::uint32_t>(connections, 1);
}

serving::work_id local_instance::submit(
    routed_request&& request,
    const service_id& caller_service,
    response_handler done
) {
    const instant now = boot_clock::now();
    this->last_id = next(this->last_id);
    auto added = std::make_unique<work>();
    work& item = *added;
    item.id = this->last_id;
    item.request = std::move(request);
    item.caller_service = caller_service;
    item.done = std::move(done);
    item.request_id = std::string{
        http::header_value(item.request.headers, this->names.request_id)};
    item.deadline = now + item.request.to_deadline;
    this->items.emplace(item.id, std::move(added));
    if (item.request.key && !this->holds_key(*item.request.key)) {
        const serving::work_id id = item.id;
        this->finish(
            item, without_answer(serving::attempt_outcome::refused_not_owner)
        );
        return id;
    }
    serving::offered_work offered;
    offered.id = item.id;
    offered.nested = item.request.nested;
    offered.priority = item.request.priority;
    offered.target = now + item.request.to_target;
    offered.deadline = item.deadline;
    offered.expected = serving::expected(
        this->times, std::to_string(item.request.route), fallback_service_time
    );
    const serving::work_id id = item.id;
    item.timer = this->timers.at(item.deadline, [this, id] {
        this->deadline_passed(id);
    });
    this->perform(serving::offer(this->queue, offered, now));
    return id;
}

void local_instance::perform(const std::vector<serving::work_action>& actions) {
    for (const serving::work_action& action : actions) {
        const auto found = this->items.find(action.id);
        if (found == this->items.end()) {
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
                without_answer(
                    serving::attempt_outcome::refused_busy, action.retry_after
                )
            );
            break;
        case serving::work_decision::refuse_closed:
            this->finish(
                item,
                without_answer(
                    serving::attempt_outcome::refused_closed, action.retry_after
                )
            );
            break;
        case serving::work_decision::refuse_expired:
            this->finish(
                item,
                without_answer(
                    serving::attempt_outcome::refused_busy, action.retry_after
                )
            );
            break;
        }
    }
}

void local_instance::start(work& item) {
    // The key may have moved while the request waited.
    if (item.request.key && !this->holds_key(*item.request.key)) {
        this->finish(
            item, without_answer(serving::attempt_outcome::refused_not_owner)
        );
        return;
    }
    item.started = boot_clock::now();
    connection* const idle = this->take_idle();
    this->send(item, idle != nullptr ? *idle : this->open_connection());
}

local_instance::connection* local_instance::take_idle() {
    const instant now = boot_clock::now();
    std::vector<connection*> stale;
    connection* best = nullptr;
    for (const auto& one : this->connections) {
        if (one->current != nullptr || !one->reusable) {
            continue;
        }
        if (now - one->idle_since + idle_margin > one->idle_timeout) {
            stale.push_back(one.get());
        } else if (best == nullptr || best->idle_since < one->idle_since) {
            best = one.get();
        }
    }
    for (connection* const one : stale) {
        this->drop(*one);
    }
    return best;
}

local_instance::connection& local_instance::open_connection() {
    auto added = std::make_unique<connection>();
    connection& result = *added;
    result.stream = new net::stream{this->where, open_timeout};
    result.stream->on_open = [&result] {
        result.open = true;
    };
    result.stream->on_data = [this, &result](std::string_view bytes) {
        this->connection_data(result, bytes);
    };
    result.stream->on_end = [this, &result](net::stream_end how) {
        this->connection_ended(
            result,
            how == net::stream_end::orderly,
            how != net::stream_end::not_opened
        );
    };
    this->connections.push_back(std::move(added));
    return result;
}

std::vector<http::header> local_instance::headers_for(const work& item) const {
    const std::array<const std::string*, 3> replaced{
        &this->names.time_left,
        &this->names.caller_service,
        &this->names.expected_instance};
    std::vector<http::header> result;
    result.reserve(item.request.headers.size() + replaced.size());
    for (const http::header& one : item.request.headers) {
        const bool is_replaced = std::any_of(
            replaced.begin(),
            replaced.end(),
            [&](const std::string* name) {
                return http::same_name(*name, one.name);
            }
        );
        if (!is_replaced) {
            result.push_back(one);
        }
    }
    result.push_back(
        {this->names.time_left, millis_text(item.deadline - boot_clock::now())}
    );
    result.push_back({this->names.caller_service, item.caller_service.value});
    result.push_back({this->names.expected_instance, this->life.id});
    return result;
}

void local_instance::send(work& item, connection& on) {
    on.current = &item;
    item.on = &on;
    on.reader.expect(item.request.method);
    on.stream->write(http::request_bytes(
        item.request.method,
        item.request.target,
        this->headers_for(item),
        item.request.body
    ));
}

void local_instance::connection_data(connection& on, std::string_view bytes) {
    if (on.current == nullptr) {
        // Bytes that no request asked for.
        this->drop(on);
        return;
    }
    http::read_progress progress = on.reader.put(bytes);
    while (progress == http::read_progress::complete && on.current != nullptr) {
        this->answer_complete(on);
        if (on.stream == nullptr) {
            return;
        }
        progress = on.current == nullptr ? http::read_progress::incomplete
                                         : on.reader.put({});
    }
    if (progress == http::read_progress::malformed) {
        this->connection_ended(on, false, true);
    }
}

void local_instance::answer_complete(connection& on) {
    work& item = *on.current;
    http::received_response answer = on.reader.take();
    on.reusable = on.reusable && answer.keep_alive;
    if (answer.idle_timeout_s) {
        on.idle_timeout = std::chrono::seconds{*answer.idle_timeout_s};
    }
    const std::string_view echoed =
        http::header_value(answer.headers, this->names.request_id);
    const bool says_not_executed =
        !http::header_value(answer.headers, this->names.not_executed).empty() ||
        answer.status == status_misdirected;
    // An answer without an id can only be told from a late one of another
    // request where there was no other.
    const bool belongs = echoed.empty() ? !on.used : echoed == item.request_id;
    if (!belongs) {
        on.reusable = false;
        on.used = true;
        log::write(
            log::level::warning,
            log_prefix,
            "Dropped an answer to another request.",
            {{"request", item.request_id},
             {"answer", std::string{echoed}},
             {"status", std::to_string(answer.status)}}
        );
        return;
    }
    const bool is_own =
        !http::header_value(answer.headers, this->names.signature).empty();
    const bool is_encoded =
        !http::header_value(answer.headers, "Content-Encoding").empty();
    routed_response response;
    response.status = answer.status;
    if (says_not_executed) {
        response.outcome = serving::attempt_outcome::not_executed;
    } else if (is_success(answer.status) && (!is_own || is_encoded)) {
        response.outcome = serving::attempt_outcome::lost;
        on.reusable = false;
    } else {
        response.outcome = serving::attempt_outcome::answered;
        this->answered_at = boot_clock::now();
        serving::record(
            this->times,
            std::to_string(item.request.route),
            this->answered_at - item.started
        );
    }
    for (http::header& one : answer.headers) {
        if (!http::same_name(one.name, this->names.load) &&
            !http::same_name(one.name, this->names.request_id)) {
            response.headers.push_back(std::move(one));
        }
    }
    response.body = std::move(answer.body);
    on.current = nullptr;
    on.used = true;
    on.idle_since = boot_clock::now();
    item.on = nullptr;
    if (!on.reusable || on.reader.has_left_bytes()) {
        this->drop(on);
    }
    this->finish(item, std::move(response));
}

void local_instance::connection_ended(
    connection& on, bool orderly, bool was_open
) {
    work* const item = on.current;
    if (item != nullptr && orderly &&
        on.reader.put_end() == http::read_progress::complete) {
        on.reusable = false;
        this->answer_complete(on);
        if (on.stream == nullptr) {
            return;
        }
    }
    on.current = nullptr;
    this->drop(on);
    if (item == nullptr || item->on != &on) {
        return;
    }
    item->on = nullptr;
    this->finish(
        *item,
        without_answer(
            was_open ? serving::attempt_outcome::lost
                     : serving::attempt_outcome::refused_closed
        )
    );
}

/// Closes a connection and forgets it.
void local_instance::drop(connection& on) {
    if (on.stream != nullptr) {
        on.stream->abort();
        on.stream = nullptr;
    }
    const auto found = std::find_if(
        this->connections.begin(),
        this->connections.end(),
        [&](const auto& one) {
            return one.get() == &on;
        }
    );
    if (found == this->connections.end()) {
        return;
    }
    // Callers on the stack may still look at it.
    std::shared_ptr<connection> last{std::move(*found)};
    this->connections.erase(found);
    this->timers.after(0ms, [last] {});
}

void local_instance::finish(work& item, routed_response&& response) {
    const auto found = this->items.find(item.id);
    const std::unique_ptr<work> taken = std::move(found->second);
    this->items.erase(found);
    this->timers.cancel(taken->timer);
    serving::withdraw(this->queue, taken->id);
    const std::vector<serving::work_action> actions =
        serving::finished(this->queue, taken->id, boot_clock::now());
    if (response.outcome != serving::attempt_outcome::answered) {
        this->log_unserved(*taken, response.outcome);
    }
    taken->done(std::move(response));
    this->perform(actions);
}

/// The decision, or the loss, with what it rested on.
void local_instance::log_unserved(
    const work& item, serving::attempt_outcome outcome
) const {
    const instant now = boot_clock::now();
    const serving::reported_load told = this->load();
    log::write(
        log::level::info,
        log_prefix,
        "Request not served.",
        {{"request", item.request_id},
         {"outcome", std::string{serving::name_of(outcome)}},
         {"instance", this->life.id},
         {"key", item.request.key ? std::to_string(*item.request.key) : "none"},
         {"left_ms", millis_text(item.deadline - now)},
         {"running", std::to_string(told.running)},
         {"waiting", std::to_string(told.waiting)},
         {"slots", std::to_string(told.slots)},
         {"mean_ms", millis_text(told.mean_service)}}
    );
}

void local_instance::deadline_passed(serving::work_id id) {
    const auto found = this->items.find(id);
    if (found == this->items.end()) {
        return;
    }
    work& item = *found->second;
    if (item.on == nullptr) {
        this->finish(
            item, without_answer(serving::attempt_outcome::refused_busy)
        );
        return;
    }
    connection& on = *item.on;
    item.on = nullptr;
    on.current = nullptr;
    this->drop(on);
    this->finish(item, without_answer(serving::attempt_outcome::timed_out));
}

void local_instance::withdraw(serving::work_id id) {
    const auto found = this->items.find(id);
    if (found == this->items.end()) {
        return;
    }
    work& item = *found->second;
    if (item.on != nullptr) {
        connection& on = *item.on;
        on.current = nullptr;
        item.on = nullptr;
        this->drop(on);
    }
    item.done = [](routed_response&&) {};
    this->finish(item, without_answer(serving::attempt_outcome::lost));
}

serving::reported_load local_instance::load() const {
    serving::reported_load result;
    result.slots = this->queue.policy.slots;
    result.running = static_cast<std::uint32_t>(this->queue.running.size());
    result.waiting = static_cast<std::uint32_t>(this->queue.waiting.size());
    result.mean_service = this->times.overall;
    return result;
}

std::size_t local_instance::unfinished() const {
    return this->items.size();
}

double local_instance::pressure() const {
    return static_cast<double>(
               this->queue.running.size() + this->queue.waiting.size()
           ) /
           this->queue.policy.slots;
}

instant local_instance::last_answer() const {
    return this->answered_at;
}

std::size_t local_instance::open_connections() const {
    return this->connections.size();
}

} // namespace apricotstile::router

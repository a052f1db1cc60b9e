// Callers' connections and the requests that arrive on them.

#include <apricotstile/edge/internal/pending_request.hpp>
#include <apricotstile/peer/log_format.hpp>

#include <apricotstile/core/hashing.hpp>
#include <apricotstile/log/logger.hpp>
#include <apricotstile/net/acceptor.hpp>

#include <algorithm>
#include <charconv>
#include <unistd.h>

namespace apricotstile::edge {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t status_bad_request = 400;

constexpr std::uint16_t status_not_found = 404;

constexpr std::uint16_t status_unavailable = 503;

constexpr duration timeout_check_interval = 1s;

/// How long after a request's deadline the request router answers in place of
/// the instance, which may answer until the deadline.
constexpr duration deadline_slack = 30ms;

constexpr duration default_deadline = 30s;

/// A caller that states a later deadline is treated as one with this, so that
/// instants stay in the range of the clock.
constexpr std::uint64_t max_deadline_ms = 86'400'000;

constexpr auto log_prefix = "ingress";

std::optional<std::uint64_t> number_in(std::string_view text) {
    std::uint64_t value = 0;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

http::request_limits limits_of(const routing::caller_limits& limits) {
    return {limits.header_bytes, limits.body_bytes};
}

} // namespace

request_router::request_router(
    const address& listen,
    net::timer_queue& timers,
    request_router_dependencies dependencies
)
    : timers(timers), dependencies(std::move(dependencies)),
      memory(*this->dependencies.memory),
      random(
          this->dependencies.self.value ^
          static_cast<std::uint64_t>(boot_clock::now().time_since_epoch().count(
          ))
      ) {
    this->events.on_request =
        [this](caller_id caller, http::received_request&& request) {
            this->handle_request(caller, std::move(request));
        };
    this->events.on_memory_refused = [this](caller_id caller) {
        this->refuse_while_received(caller);
    };
    this->events.make_room =
        [this](caller_id caller, std::size_t added, std::size_t message_bytes) {
            return this->make_room(caller, added, message_bytes);
        };
    this->events.on_closed = [this](caller_id caller) {
        this->handle_disconnect(caller);
    };
    this->listener = std::make_unique<net::acceptor>(
        listen,
        [this](int descriptor, const address&) {
            this->handle_accept(descriptor);
        }
    );
    this->timers.every(timeout_check_interval, [this] {
        serving::forget_expired(this->retrying_callers, boot_clock::now());
        if (!this->table) {
            return;
        }
        const routing::caller_limits& limits = this->table->config.limits;
        std::vector<caller_connection*> connections;
        for (const auto& [id, one] : this->callers) {
            connections.push_back(one.get());
        }
        for (caller_connection* const one : connections) {
            one->check_timeouts(
                boot_clock::now(), limits.header_timeout, limits.idle_timeout
            );
        }
    });
}

request_router::~request_router() {
    for (auto& [caller, request] : this->requests) {
        this->timers.cancel(request->deadline_timer);
        this->timers.cancel(request->retry_timer);
    }
}

void request_router::set_config(
    std::shared_ptr<const routing::route_table> changed
) {
    this->table = std::move(changed);
    for (const auto& [id, one] : this->callers) {
        one->set_limits(limits_of(this->table->config.limits));
    }
}

void request_router::set_config_current(bool current) {
    this->config_current = current;
}

void request_router::update_load(
    host_id host, const serving::reported_load& load
) {
    serving::instance_view& view = this->views[host];
    view.load = load;
    view.load_reported_at = boot_clock::now();
    view.in_flight_when_reported = view.in_flight;
}

void request_router::handle_accept(int descriptor) {
    if (!this->admit_connection()) {
        ::close(descriptor);
        return;
    }
    this->last_caller = next(this->last_caller);
    const routing::caller_limits limits =
        this->table ? this->table->config.limits : routing::caller_limits{};
    this->callers.emplace(
        this->last_caller,
        std::make_unique<caller_connection>(
            this->last_caller,
            descriptor,
            limits_of(limits),
            this->events,
            this->memory
        )
    );
}

void request_router::handle_request(
    caller_id caller, http::received_request&& request
) {
    ++this->counted.requests;
    if (!this->table || this->refuses_unsent) {
        this->refuse_early(
            caller,
            request,
            status_unavailable,
            this->table ? "stopping" : "no_configuration"
        );
        return;
    }
    const routing::route* const route = routing::find_route(
        *this->table,
        http::header_value(request.headers, "Host"),
        request.target
    );
    if (route == nullptr) {
        ++this->counted.no_route;
        this->refuse_early(
            caller,
            request,
            this->config_current ? status_not_found : status_unavailable,
            "no_route"
        );
        return;
    }
    auto added = std::make_unique<pending_request>(this->memory);
    pending_request& item = *added;
    const instant now = boot_clock::now();
    const auto& names = this->dependencies.names;
    item.caller = caller;
    item.id = http::header_value(request.headers, names.request_id);
    item.table = this->table;
    item.route = route;
    item.service = routing::choose_service(
        *route, std::uniform_real_distribution<double>{}(this->random)
    );
    const auto left =
        number_in(http::header_value(request.headers, names.remaining_deadline)
        );
    const duration caller_left = left ? duration{std::chrono::milliseconds{
                                            std::min(*left, max_deadline_ms)}}
                                      : default_deadline;
    item.progress.idempotent = route->idempotent;
    item.progress.max_instances = route->max_instances;
    item.progress.arrived = now;
    item.progress.target = now + route->target_latency;
    item.progress.deadline = now + std::min(caller_left, route->timeout);
    item.received = std::move(request);
    item.content_hash =
        combined_hash({route->name, item.received.target, item.received.body});
    item.first_attempt = serving::take_first_attempt(
        this->retrying_callers, item.content_hash, now + caller_left, now
    );
    item.caller_deadline = now + caller_left;
    const auto service = this->table->config.services.find(item.service);
    const bool keyed =
        service != this->table->config.services.end() && service->second.keyed;
    if (keyed) {
        const auto key =
            number_in(http::header_value(item.received.headers, names.key));
        if (!key || *key >= keys::key_count) {
            this->refuse_early(
                caller, item.received, status_bad_request, "no_key"
            );
            return;
        }
        item.key = static_cast<keys::key_number>(*key);
        item.progress.keyed = true;
    }
    this->requests.emplace(caller, std::move(added));
    const auto answer_bytes =
        static_cast<std::size_t>(serving::expected_answer_bytes(
            this->answer_sizes, name_hash(route->name)
        ));
    const std::size_t wanted =
        answer_bytes + http::memory_of(item.received.headers);
    if (!this->make_room(caller, wanted, wanted)) {
        this->refuse_for_memory(item);
        return;
    }
    item.memory.set(wanted);
    this->restart_deadline_timer(item);
    serving::count_request(
        this->budgets[item.service], this->dependencies.retry_budget, now
    );
    this->start_attempt(item);
}

/// At the deadline the request router answers the request itself.
void request_router::restart_deadline_timer(pending_request& request) {
    this->timers.cancel(request.deadline_timer);
    request.progress.deadline =
        std::min(request.progress.deadline, this->answer_deadline);
    request.deadline_timer = this->timers.at(
        request.progress.deadline + deadline_slack,
        [this, caller = request.caller] {
            this->handle_deadline(caller);
        }
    );
}

void request_router::refuse_early(
    caller_id caller,
    const http::received_request& request,
    std::uint16_t status,
    const char* reason
) {
    const std::string id{http::header_value(
        request.headers, this->dependencies.names.request_id
    )};
    std::vector<http::header> headers;
    if (!id.empty()) {
        headers.push_back({this->dependencies.names.request_id, id});
    }
    if (status == status_unavailable) {
        ++this->counted.refused;
        headers.push_back({"Retry-After", "0.3"});
    }
    log::write(
        log::level::info,
        log_prefix,
        "Request refused before any attempt.",
        {{"request", id},
         {"status", std::to_string(status)},
         {"reason", reason}}
    );
    this->callers.at(caller)->respond(status, headers, {}, this->closing);
}

/// Logs a caller that left, with where its request was.
void request_router::log_disconnect(const pending_request& request) {
    log::write(
        log::level::info,
        log_prefix,
        "Caller left before its answer.",
        {{"request", request.id},
         {"after_ms",
          peer::millis_text(boot_clock::now() - request.progress.arrived)},
         {"host",
          request.attempt ? peer::format_for_log(request.attempt->host)
                          : "none"},
         {"attempts", request.attempt_trace}}
    );
}

void request_router::handle_disconnect(caller_id caller) {
    const auto found = this->requests.find(caller);
    if (found != this->requests.end()) {
        ++this->counted.disconnected;
        this->log_disconnect(*found->second);
        this->cancel_attempts(*found->second);
        this->forget_request(caller);
    }
    const auto connection = this->callers.find(caller);
    if (connection == this->callers.end()) {
        return;
    }
    // Its code is still on the call stack.
    std::shared_ptr<caller_connection> last{std::move(connection->second)};
    this->callers.erase(connection);
    this->timers.after(0ms, [last] {});
}

void request_router::start_closing(instant end) {
    this->closing = true;
    this->answer_deadline = end;
    for (auto& [caller, request] : this->requests) {
        this->restart_deadline_timer(*request);
    }
}

void request_router::stop_accepting() {
    this->closing = true;
    this->refuses_unsent = true;
    this->listener.reset();
    std::vector<caller_connection*> connections;
    for (const auto& [id, one] : this->callers) {
        connections.push_back(one.get());
    }
    for (caller_connection* const one : connections) {
        one->close_when_idle();
    }
}

std::size_t request_router::waiting() const {
    return this->requests.size();
}

std::size_t request_router::open_connections() const {
    return this->callers.size();
}

const request_router_counters& request_router::counters() const {
    return this->counted;
}

const serving::instance_view* request_router::instance_view_of(host_id host
) const {
    const auto found = this->views.find(host);
    return found == this->views.end() ? nullptr : &found->second;
}

} // namespace apricotstile::edge

// The way of a caller's request.

#include <apricotstile/router/ingress.hpp>

#include <apricotstile/log/logger.hpp>
#include <apricotstile/net/acceptor.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_bad_gateway = 502;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::uint16_t status_gateway_timeout = 504;
constexpr std::uint16_t first_server_error = 500;
constexpr duration scan_interval = 1s;
/// Between the last moment an instance may answer and the answer that is
/// given in its place.
constexpr duration deadline_slack = 30ms;
constexpr duration assumed_deadline = 30s;
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

std::string seconds_text(duration value) {
    return fmt::format("{:.3f}", std::chrono::duration<double>(value).count());
}

std::string millis_text(duration value) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count()
    );
}

std::string host_text(host_id host) {
    return host == host_id{} ? "none" : to_string(peer_address(host));
}

http::request_limits limits_of(const routing::caller_limits& limits) {
    constexpr std::uint64_t most_body_bytes = 16U << 20U;
    return {limits.header_bytes, std::min(limits.body_bytes, most_body_bytes)};
}

} // namespace

struct ingress::pending {
    caller_id caller;
    std::string id;
    http::received_request received;
    /// Keeps `where` alive.
    std::shared_ptr<const routing::route_table> table;
    const routing::route* where{nullptr};
    service_id service;
    std::optional<keys::key_number> key;
    /// Whether it comes from the instance beside this daemon.
    bool nested{false};
    serving::request_progress progress;
    /// The attempt in progress; rises, so that late ends are told apart.
    std::uint64_t attempt{0};
    host_id host;
    std::function<void()> cancel;
    net::timer_id deadline_timer;
    net::timer_id pause_timer;
    std::string trail;
};

ingress::ingress(
    const address& listen,
    net::timer_queue& timers,
    ingress_surroundings surroundings
)
    : timers(timers), around(std::move(surroundings)),
      random(
          this->around.self.value ^
          static_cast<std::uint64_t>(boot_clock::now().time_since_epoch().count(
          ))
      ) {
    this->events.on_request =
        [this](caller_id caller, http::received_request&& request) {
            this->take_request(caller, std::move(request));
        };
    this->events.on_gone = [this](caller_id caller) {
        this->caller_gone(caller);
    };
    this->listener = std::make_unique<net::acceptor>(
        listen,
        [this](int descriptor, const address& peer) {
            this->accepted(descriptor, peer);
        }
    );
    this->timers.every(scan_interval, [this] {
        if (!this->table) {
            return;
        }
        const routing::caller_limits& limits = this->table->config.limits;
        std::vector<caller_connection*> all;
        for (const auto& [id, one] : this->callers) {
            all.push_back(one.get());
        }
        for (caller_connection* const one : all) {
            one->check_times(
                boot_clock::now(), limits.header_timeout, limits.idle_timeout
            );
        }
    });
}

ingress::~ingress() {
    for (auto& [caller, request] : this->requests) {
        this->timers.cancel(request->deadline_timer);
        this->timers.cancel(request->pause_timer);
    }
}

void ingress::set_config(std::shared_ptr<const routing::route_table> changed) {
    this->table = std::move(changed);
    for (const auto& [id, one] : this->callers) {
        one->set_limits(limits_of(this->table->config.limits));
    }
}

void ingress::set_config_current(bool current) {
    this->config_current = current;
}

void ingress::take_load(host_id host, const serving::reported_load& load) {
    serving::instance_view& view = this->views[host];
    view.load = load;
    view.told = boot_clock::now();
    view.in_flight_when_told = view.in_flight;
}

void ingress::accepted(int descriptor, const address& peer) {
    this->last_caller = next(this->last_caller);
    const routing::caller_limits limits =
        this->table ? this->table->config.limits : routing::caller_limits{};
    this->callers.emplace(
        this->last_caller,
        std::make_unique<caller_connection>(
            this->last_caller, descriptor, limits_of(limits), this->events
        )
    );
    if (peer.ip == this->around.instance.ip) {
        this->instance_callers.insert(this->last_caller);
    }
}

void ingress::take_request(caller_id caller, http::received_request&& request) {
    ++this->counted.requests;
    if (!this->table) {
        this->refuse_unrouted(
            caller, request, status_unavailable, "no_configuration"
        );
        return;
    }
    const routing::route* const where = routing::find_route(
        *this->table,
        http::header_value(request.headers, "Host"),
        request.target
    );
    if (where == nullptr) {
        ++this->counted.no_route;
        this->refuse_unrouted(
            caller,
            request,
            this->config_current ? status_not_found : status_unavailable,
            "no_route"
        );
        return;
    }
    auto added = std::make_unique<pending>();
    pending& item = *added;
    const instant now = boot_clock::now();
    const auto& names = this->around.names;
    item.caller = caller;
    item.id = http::header_value(request.headers, names.request_id);
    item.table = this->table;
    item.where = where;
    item.service = routing::choose_service(
        *where, std::uniform_real_distribution<double>{}(this->random)
    );
    const auto left =
        number_in(http::header_value(request.headers, names.time_left));
    const duration caller_left =
        left ? duration{std::chrono::milliseconds{*left}} : assumed_deadline;
    item.nested = this->instance_callers.contains(caller);
    item.progress.idempotent = where->idempotent;
    item.progress.max_instances = where->max_instances;
    item.progress.arrived = now;
    item.progress.target = now + where->target_latency;
    item.progress.deadline = now + std::min(caller_left, where->timeout);
    item.received = std::move(request);
    const auto service = this->table->config.services.find(item.service);
    const bool keyed =
        service != this->table->config.services.end() && service->second.keyed;
    if (keyed) {
        const auto key =
            number_in(http::header_value(item.received.headers, names.key));
        if (!key || *key >= keys::key_count) {
            this->refuse_unrouted(
                caller, item.received, status_bad_request, "no_key"
            );
            return;
        }
        item.key = static_cast<keys::key_number>(*key);
        item.progress.keyed = true;
    }
    item.deadline_timer = this->timers.at(
        item.progress.deadline + deadline_slack,
        [this, caller] {
            this->deadline_passed(caller);
        }
    );
    this->requests.emplace(caller, std::move(added));
    serving::count_request(
        this->budgets[{item.service, item.nested}], this->around.retries, now
    );
    this->attempt(item);
}

serving::nearness ingress::distance_to(const location& where) const {
    if (where.failure_domain == this->around.where.failure_domain) {
        return serving::nearness::failure_domain;
    }
    return where.region == this->around.where.region
               ? serving::nearness::region
               : serving::nearness::elsewhere;
}

std::optional<host_id> ingress::choose_host(pending& request) {
    if (request.key) {
        return this->around.owner_of(request.service, *request.key);
    }
    std::vector<serving::candidate> candidates;
    for (const directory::entry* const one :
         directory::ready_instances(*this->around.known, request.service)) {
        const auto& tried = request.progress.tried;
        if (std::find(tried.begin(), tried.end(), one->host) != tried.end() ||
            (one->stopping && one->host != this->around.self) ||
            !this->around.is_reachable(one->host)) {
            continue;
        }
        candidates.push_back(
            {one->host, this->distance_to(one->where), &this->views[one->host]}
        );
    }
    return serving::choose_instance(
        candidates,
        this->choice,
        request.where->target_latency,
        boot_clock::now(),
        this->random
    );
}

routed_request ingress::to_routed(const pending& request) const {
    const instant now = boot_clock::now();
    routed_request result;
    result.service = name_hash(request.service.value);
    result.route = name_hash(request.where->name);
    result.method = request.received.method;
    result.target = request.received.target;
    for (const http::header& one : request.received.headers) {
        const bool is_own =
            http::same_name(one.name, this->around.names.time_left) ||
            http::same_name(one.name, this->around.names.caller_service) ||
            http::same_name(one.name, this->around.names.expected_instance);
        if (!is_own) {
            result.headers.push_back(one);
        }
    }
    result.body = request.received.body;
    result.key = request.key;
    result.nested = request.nested;
    result.priority = request.where->priority;
    result.to_target = request.progress.target - now;
    result.to_deadline = request.progress.deadline - now;
    return result;
}

void ingress::attempt(pending& request) {
    const std::optional<host_id> host = this->choose_host(request);
    const caller_id caller = request.caller;
    const std::uint64_t number = ++request.attempt;
    if (!host) {
        routed_response none;
        none.outcome = request.key ? serving::attempt_outcome::refused_not_owner
                                   : serving::attempt_outcome::refused_closed;
        request.progress.refusals = this->progress.max_refusals;
        this->attempt_ended(caller, number, host_id{}, std::move(none));
        return;
    }
    serving::begin_attempt(request.progress, *host);
    request.host = *host;
    ++this->views[*host].in_flight;
    std::function<void()> cancel = this->around.hand_over(
        *host,
        this->to_routed(request),
        [this, caller, number, host = *host](routed_response&& response) {
            this->attempt_ended(caller, number, host, std::move(response));
        }
    );
    // The attempt may have ended by now, and the request with it.
    const auto found = this->requests.find(caller);
    if (found != this->requests.end() && found->second->attempt == number &&
        found->second->host == *host) {
        found->second->cancel = std::move(cancel);
    }
}

void ingress::attempt_ended(
    caller_id caller,
    std::uint64_t number,
    host_id host,
    routed_response&& response
) {
    const instant now = boot_clock::now();
    if (host != host_id{}) {
        serving::instance_view& view = this->views[host];
        view.in_flight -= view.in_flight > 0 ? 1 : 0;
        switch (response.outcome) {
        case serving::attempt_outcome::answered:
            serving::note_answer(view);
            break;
        case serving::attempt_outcome::not_executed:
        case serving::attempt_outcome::refused_busy:
            serving::note_refusal(
                view, this->choice, response.retry_after, now
            );
            break;
        case serving::attempt_outcome::refused_closed:
        case serving::attempt_outcome::lost:
        case serving::attempt_outcome::timed_out:
            serving::note_loss(view, this->choice, now);
            break;
        case serving::attempt_outcome::refused_not_owner:
            break;
        }
    }
    const auto found = this->requests.find(caller);
    if (found == this->requests.end() || found->second->attempt != number) {
        return;
    }
    pending& request = *found->second;
    request.cancel = nullptr;
    request.host = host_id{};
    request.trail += fmt::format(
        "{}{}:{}",
        request.trail.empty() ? "" : ",",
        host_text(host),
        serving::name_of(response.outcome)
    );
    serving::attempt_end end;
    end.outcome = response.outcome;
    end.host = host;
    end.failed = response.status >= first_server_error;
    end.retry_after = response.retry_after;
    const serving::next_step step =
        serving::after(request.progress, end, this->progress, now, [&] {
            return this->may_repeat(request);
        });
    this->perform(request, step, std::move(response));
}

bool ingress::may_repeat(const pending& request) {
    const bool allowed = serving::take_repeat(
        this->budgets[{request.service, request.nested}],
        request.nested ? this->around.nested_retries : this->around.retries,
        this->around.known->entries.size(),
        boot_clock::now()
    );
    this->counted.repeats += allowed ? 1 : 0;
    return allowed;
}

void ingress::perform(
    pending& request, serving::next_step step, routed_response&& response
) {
    const caller_id caller = request.caller;
    switch (step) {
    case serving::next_step::deliver:
        this->deliver(request, std::move(response));
        break;
    case serving::next_step::try_again:
        this->attempt(request);
        break;
    case serving::next_step::try_later:
        this->around.doubt_map(request.service);
        request.progress.tried.clear();
        request.pause_timer =
            this->timers.after(this->progress.key_move_pause, [this, caller] {
                const auto found = this->requests.find(caller);
                if (found != this->requests.end()) {
                    this->attempt(*found->second);
                }
            });
        break;
    case serving::next_step::refuse:
        this->answer_own(
            request, status_unavailable, "not_run", request.progress.retry_after
        );
        break;
    case serving::next_step::fail:
        this->answer_own(
            request,
            response.outcome == serving::attempt_outcome::timed_out
                ? status_gateway_timeout
                : status_bad_gateway,
            "outcome_unknown",
            duration{0}
        );
        break;
    }
}

void ingress::deadline_passed(caller_id caller) {
    const auto found = this->requests.find(caller);
    if (found == this->requests.end()) {
        return;
    }
    pending& request = *found->second;
    const bool in_progress = request.cancel != nullptr;
    if (in_progress) {
        request.cancel();
        request.cancel = nullptr;
        serving::instance_view& view = this->views[request.host];
        view.in_flight -= view.in_flight > 0 ? 1 : 0;
        serving::note_loss(view, this->choice, boot_clock::now());
    }
    const bool may_have_run = in_progress || request.progress.may_have_run;
    this->answer_own(
        request,
        may_have_run ? status_gateway_timeout : status_unavailable,
        "deadline",
        duration{0}
    );
}

void ingress::answer_own(
    pending& request,
    std::uint16_t status,
    const char* reason,
    duration retry_after
) {
    std::vector<http::header> headers;
    if (!request.id.empty()) {
        headers.push_back({this->around.names.request_id, request.id});
    }
    if (status == status_unavailable) {
        ++this->counted.refused;
        constexpr duration least = 30ms;
        headers.push_back(
            {"Retry-After", seconds_text(std::max(retry_after, least))}
        );
    } else {
        ++this->counted.failed;
    }
    log::write(
        log::level::warning,
        log_prefix,
        "Request not answered by an instance.",
        {{"request", request.id},
         {"route", request.where->name},
         {"service", request.service.value},
         {"key", request.key ? std::to_string(*request.key) : "none"},
         {"status", std::to_string(status)},
         {"reason", reason},
         {"attempts", request.trail},
         {"after_ms",
          millis_text(boot_clock::now() - request.progress.arrived)},
         {"config", std::to_string(request.table->config.version.value)}}
    );
    const caller_id caller = request.caller;
    this->finish(caller);
    const auto connection = this->callers.find(caller);
    if (connection != this->callers.end()) {
        connection->second->respond(status, headers, {}, this->closing);
    }
}

void ingress::deliver(pending& request, routed_response&& response) {
    ++this->counted.answered;
    std::vector<http::header> headers = std::move(response.headers);
    if (!request.id.empty()) {
        headers.push_back({this->around.names.request_id, request.id});
    }
    if (response.status >= first_server_error) {
        log::write(
            log::level::info,
            log_prefix,
            "Instance failed a request.",
            {{"request", request.id},
             {"route", request.where->name},
             {"status", std::to_string(response.status)},
             {"attempts", request.trail}}
        );
    }
    const caller_id caller = request.caller;
    this->finish(caller);
    const auto connection = this->callers.find(caller);
    if (connection != this->callers.end()) {
        connection->second->respond(
            response.status, headers, response.body, this->closing
        );
    }
}

void ingress::refuse_unrouted(
    caller_id caller,
    const http::received_request& request,
    std::uint16_t status,
    const char* reason
) {
    const std::string id{
        http::header_value(request.headers, this->around.names.request_id)};
    std::vector<http::header> headers;
    if (!id.empty()) {
        headers.push_back({this->around.names.request_id, id});
    }
    if (status == status_unavailable) {
        ++this->counted.refused;
        headers.push_back({"Retry-After", "0.3"});
    }
    log::write(
        log::level::info,
        log_prefix,
        "Request without a route.",
        {{"request", id},
         {"status", std::to_string(status)},
         {"reason", reason}}
    );
    this->callers.at(caller)->respond(status, headers, {}, this->closing);
}

void ingress::finish(caller_id caller) {
    const auto found = this->requests.find(caller);
    this->timers.cancel(found->second->deadline_timer);
    this->timers.cancel(found->second->pause_timer);
    this->requests.erase(found);
}

void ingress::caller_gone(caller_id caller) {
    const auto found = this->requests.find(caller);
    if (found != this->requests.end()) {
        ++this->counted.left;
        pending& request = *found->second;
        if (request.cancel) {
            request.cancel();
            serving::instance_view& view = this->views[request.host];
            view.in_flight -= view.in_flight > 0 ? 1 : 0;
        }
        this->finish(caller);
    }
    const auto connection = this->callers.find(caller);
    if (connection == this->callers.end()) {
        return;
    }
    // It is still on the stack.
    std::shared_ptr<caller_connection> last{std::move(connection->second)};
    this->callers.erase(connection);
    this->instance_callers.erase(caller);
    this->timers.after(0ms, [last] {});
}

void ingress::peer_silent(host_id host) {
    std::vector<std::pair<caller_id, std::uint64_t>> stuck;
    for (const auto& [caller, request] : this->requests) {
        if (request->host == host && request->progress.idempotent &&
            !request->progress.keyed) {
            stuck.emplace_back(caller, request->attempt);
        }
    }
    for (const auto& [caller, number] : stuck) {
        const auto found = this->requests.find(caller);
        if (found == this->requests.end() || !found->second->cancel) {
            continue;
        }
        found->second->cancel();
        this->attempt_ended(caller, number, host, routed_response{});
    }
}

void ingress::start_closing() {
    this->closing = true;
}

void ingress::stop_accepting() {
    this->closing = true;
    this->listener.reset();
    std::vector<caller_connection*> all;
    for (const auto& [id, one] : this->callers) {
        all.push_back(one.get());
    }
    for (caller_connection* const one : all) {
        one->close_when_idle();
    }
}

std::size_t ingress::waiting() const {
    return this->requests.size();
}

std::size_t ingress::open_connections() const {
    return this->callers.size();
}

const ingress_counters& ingress::counters() const {
    return this->counted;
}

const serving::instance_view* ingress::view_of(host_id host) const {
    const auto found = this->views.find(host);
    return found == this->views.end() ? nullptr : &found->second;
}

} // namespace apricotstile::router

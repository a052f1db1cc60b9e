// Exchanges with the instance. An answer is passed on only when it is whole
// and says that it belongs to the request.

#include <apricotstile/router/internal/local_work.hpp>

#include <apricotstile/log/logger.hpp>

#include <algorithm>
#include <array>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;
using internal::millis_text;
using internal::without_answer;

constexpr duration open_timeout = 1s;

/// An idle connection is given up this long before the instance closes it.
constexpr duration idle_margin = 1500ms;

constexpr std::uint16_t status_misdirected = 421;

constexpr std::uint16_t first_redirect = 300;

constexpr std::uint16_t first_success = 200;

constexpr std::uint16_t first_server_error = 500;

constexpr auto log_prefix = "instance";

bool is_success(std::uint16_t status) {
    return status >= first_success && status < first_redirect;
}

} // namespace

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
        auto reports = upstream::note_answered(
            this->crashes, item.content, this->answered_at
        );
        if (!reports.empty()) {
            this->on_suspicion(std::move(reports));
        }
        const bool failed = answer.status >= first_server_error;
        serving::record_result(this->times, failed, this->answered_at);
        if (!failed) {
            serving::record_service_time(
                this->times,
                item.request.route,
                this->answered_at - item.started
            );
        }
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
    if (was_open) {
        upstream::note_lost(
            this->crashes, {item->content, {}}, boot_clock::now()
        );
    } else {
        this->instance_down();
    }
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

} // namespace apricotstile::router

// HTTP exchanges with the instance. An answer is passed on only if it is
// complete and known to belong to the request.

#include <apricotstile/peer/log_format.hpp>
#include <apricotstile/sidecar/internal/local_work.hpp>

#include <apricotstile/log/logger.hpp>
#include <apricotstile/serving/held_bytes.hpp>

#include <algorithm>
#include <array>

namespace apricotstile::sidecar {

namespace {

using namespace std::chrono_literals;
using internal::idle_margin;
using peer::unanswered_response;

constexpr duration open_timeout = 1s;

/// Time for all resets of a crash to arrive before the check for one.
constexpr duration listening_check_delay = 20ms;

constexpr std::uint16_t status_misdirected = 421;

constexpr std::uint16_t first_redirect = 300;

constexpr std::uint16_t first_success = 200;

constexpr std::uint16_t first_server_error = 500;

constexpr auto log_prefix = "instance";

/// A smaller body is sent in one call with the head before it.
constexpr std::size_t max_joined_body_bytes = 64U << 10U;

/// A smaller answer isn't given up for the memory that others take.
constexpr std::size_t small_answer_bytes = 64U << 10U;

/// A connection with more refusals isn't used again.
constexpr std::size_t max_refusals_of_connection = 16;

bool has_refused(
    const std::vector<std::string>& refused, const std::string& request_id
) {
    return std::find(refused.begin(), refused.end(), request_id) !=
           refused.end();
}

/// Whether the headers name more than one answer: one broke off within them and
/// another one follows.
bool names_several(
    const std::vector<http::header>& headers, const http::header_names& names
) {
    const std::array<const std::string*, 3> single{
        &names.request_id, &names.signature, &names.not_executed};
    return std::any_of(
        single.begin(),
        single.end(),
        [&](const std::string* name) {
            return http::header_count(headers, *name) > 1;
        }
    );
}

bool is_success(std::uint16_t status) {
    return status >= first_success && status < first_redirect;
}

/// The header's unit is milliseconds; zero would mean that no time is left.
std::string remaining_deadline_text(duration remaining) {
    constexpr duration least = 1ms;
    return peer::millis_text(std::max(remaining, least));
}

} // namespace

local_instance::connection*
local_instance::find_idle_connection(const std::string& request_id) {
    const instant now = boot_clock::now();
    std::vector<connection*> stale;
    connection* best = nullptr;
    for (const auto& one : this->connections) {
        if (one->current != nullptr || !one->reusable ||
            has_refused(one->refused_requests, request_id)) {
            continue;
        }
        if (now - one->idle_since + idle_margin > one->idle_timeout) {
            stale.push_back(one.get());
        } else if (best == nullptr || best->idle_since < one->idle_since) {
            best = one.get();
        }
    }
    for (connection* const one : stale) {
        this->close_connection(*one);
    }
    return best;
}

local_instance::connection& local_instance::open_connection() {
    auto added = std::make_unique<connection>(this->memory);
    connection& result = *added;
    result.idle_since = boot_clock::now();
    result.stream = new net::stream{this->where, open_timeout};
    result.stream->on_open = [this, &result] {
        result.open = true;
        this->handle_connected(result);
    };
    result.stream->on_data = [this, &result](std::string_view bytes) {
        this->handle_data(result, bytes);
    };
    result.stream->on_end = [this, &result](net::stream_end how) {
        this->handle_end(
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
        &this->names.remaining_deadline,
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
        {this->names.remaining_deadline,
         remaining_deadline_text(item.deadline - boot_clock::now())}
    );
    result.push_back({this->names.caller_service, item.caller_service.value});
    result.push_back({this->names.expected_instance, this->instance.id});
    return result;
}

void local_instance::send(work& item, connection& conn) {
    conn.current = &item;
    item.conn = &conn;
    conn.reader.expect(item.request.method);
    const shared_bytes& body = item.request.body;
    std::string head = http::request_head(
        item.request.method,
        item.request.target,
        this->headers_for(item),
        body.size()
    );
    if (body.size() <= max_joined_body_bytes) {
        conn.stream->write(head.append(body.view()));
    } else {
        conn.stream->write(head);
        conn.stream->write_shared(body);
    }
    conn.update_reservation();
}

/// Gives up the largest unfinished answer if all of them hold too much memory.
/// Returns whether it is the one on `conn`, which is closed then.
bool local_instance::enforce_answer_memory(const connection& conn) {
    const auto largest = std::max_element(
        this->connections.begin(),
        this->connections.end(),
        [](const auto& left, const auto& right) {
            return left->answer_bytes < right->answer_bytes;
        }
    );
    const bool endangers_process =
        (*largest)->answer_bytes > small_answer_bytes &&
        serving::exceeds_hard_limit(this->memory, 0);
    if (!endangers_process &&
        this->unfinished_answer_bytes() <= internal::max_answer_bytes) {
        return false;
    }
    ++this->memory.refused;
    log::write(
        log::level::warning,
        log_prefix,
        "Answer given up while it was received: answers take too much memory.",
        {{"bytes", std::to_string((*largest)->answer_bytes)},
         {"reserved", std::to_string(this->memory.reserved)},
         {"limit", std::to_string(this->memory.limit)}}
    );
    const bool is_same = largest->get() == &conn;
    this->handle_end(**largest, false, true);
    return is_same;
}

void local_instance::handle_data(connection& conn, std::string_view bytes) {
    if (conn.current == nullptr) {
        // Data that no request asked for.
        this->close_connection(conn);
        return;
    }
    conn.answer_bytes += bytes.size();
    if (this->enforce_answer_memory(conn)) {
        return;
    }
    http::read_progress progress = conn.reader.put(bytes);
    conn.update_reservation();
    while (progress == http::read_progress::complete && conn.current != nullptr
    ) {
        this->handle_answer(conn);
        if (conn.stream == nullptr) {
            return;
        }
        progress = conn.current == nullptr ? http::read_progress::incomplete
                                           : conn.reader.put({});
    }
    if (progress == http::read_progress::malformed) {
        this->handle_end(conn, false, true);
    }
}

void local_instance::handle_answer(connection& conn) {
    work& item = *conn.current;
    http::received_response answer = conn.reader.take();
    answer.body = serving::hold(answer.body, this->memory);
    conn.answer_bytes = 0;
    conn.update_reservation();
    conn.reusable = conn.reusable && answer.keep_alive;
    if (answer.idle_timeout_s) {
        conn.idle_timeout = std::chrono::seconds{*answer.idle_timeout_s};
    }
    if (names_several(answer.headers, this->names)) {
        log::write(
            log::level::warning,
            log_prefix,
            "Discarded an answer whose headers are those of several.",
            {{"request", item.request_id},
             {"status", std::to_string(answer.status)}}
        );
        this->handle_end(conn, false, true);
        return;
    }
    const std::string_view echoed =
        http::header_value(answer.headers, this->names.request_id);
    const bool says_not_executed =
        !http::header_value(answer.headers, this->names.not_executed).empty() ||
        answer.status == status_misdirected;
    // An answer without an id may be a late answer to another request, unless
    // the connection has carried no other.
    const bool belongs_to_request =
        echoed.empty() ? !conn.used : echoed == item.request_id;
    if (!belongs_to_request) {
        conn.reusable = false;
        conn.used = true;
        log::write(
            log::level::warning,
            log_prefix,
            "Discarded an answer to another request.",
            {{"request", item.request_id},
             {"answer", std::string{echoed}},
             {"status", std::to_string(answer.status)}}
        );
        return;
    }
    this->read_rate_limit(answer.headers);
    this->read_cold_time(answer.headers);
    this->read_stated_load(answer.headers);
    if (!this->queue.has_answered) {
        this->perform_actions(
            serving::note_first_answer(this->queue, boot_clock::now())
        );
    }
    this->read_leaving(answer.headers);
    const bool is_signed =
        !http::header_value(answer.headers, this->names.signature).empty();
    const bool is_encoded =
        !http::header_value(answer.headers, "Content-Encoding").empty();
    peer::routed_response response;
    response.status = answer.status;
    if (says_not_executed) {
        conn.refused_requests.push_back(item.request_id);
        conn.reusable = conn.reusable && conn.refused_requests.size() <
                                             max_refusals_of_connection;
        response.outcome = serving::attempt_outcome::not_executed;
    } else if (is_success(answer.status) && (!is_signed || is_encoded)) {
        response.outcome = serving::attempt_outcome::lost;
        conn.reusable = false;
    } else {
        response.outcome = serving::attempt_outcome::answered;
        this->answered_at = boot_clock::now();
        upstream::note_answered(this->crash_detector, item.started);
        const bool failed = answer.status >= first_server_error;
        serving::record_result(this->times, failed, this->answered_at);
        if (!failed) {
            this->note_completed(item);
        }
    }
    for (http::header& one : answer.headers) {
        if (!http::same_name(one.name, this->names.server_load) &&
            !http::same_name(one.name, this->names.request_id)) {
            response.headers.push_back(std::move(one));
        }
    }
    response.body = std::move(answer.body);
    conn.current = nullptr;
    conn.used = true;
    conn.idle_since = boot_clock::now();
    item.conn = nullptr;
    if (!conn.reusable || conn.reader.has_unread_bytes()) {
        this->close_connection(conn);
    }
    this->finish(item, std::move(response));
}

/// Records that the instance ran a request without an error.
void local_instance::note_completed(const work& item) {
    const duration usual =
        serving::read_usual_time(this->stated, this->answered_at) -
        item.usual_start;
    const auto expected = serving::estimate_work(
        this->work_model, item.request.route_hash, item.features
    );
    const duration took = serving::service_time_to_record(
        this->stated,
        this->answered_at - item.started,
        usual,
        expected ? expected->expected : duration{0}
    );
    serving::record_service_time(this->times, took);
    serving::observe_work(
        this->work_model,
        item.request.route_hash,
        item.features,
        took,
        this->answered_at
    );
    auto reports = upstream::note_completed(
        this->crash_detector, item.identity, this->answered_at
    );
    if (!reports.empty()) {
        this->on_crash_reports(std::move(reports));
    }
}

void local_instance::handle_end(connection& conn, bool orderly, bool was_open) {
    work* const item = conn.current;
    if (item != nullptr && orderly &&
        conn.reader.put_end() == http::read_progress::complete) {
        conn.reusable = false;
        this->handle_answer(conn);
        if (conn.stream == nullptr) {
            return;
        }
    }
    conn.current = nullptr;
    this->close_connection(conn);
    if (!was_open) {
        this->note_possible_restart();
        this->handle_instance_down();
    }
    if (item == nullptr && was_open) {
        this->check_after_idle_end(conn);
    }
    if (item == nullptr || item->conn != &conn) {
        return;
    }
    item->conn = nullptr;
    if (was_open) {
        this->note_unanswered(*item, upstream::request_loss::connection_broke);
        this->check_still_listening();
    }
    this->finish(
        *item,
        unanswered_response(
            was_open ? serving::attempt_outcome::lost
                     : serving::attempt_outcome::refused_closed
        )
    );
}

/// Opens a connection, which the next request uses. If the instance has crashed
/// it can't be opened, which shows the crash without waiting for a request.
void local_instance::check_still_listening() {
    if (this->listening_check_due) {
        return;
    }
    this->listening_check_due = true;
    this->timers.after(listening_check_delay, [this] {
        this->listening_check_due = false;
        this->open_connection();
    });
}

/// Closes a connection and removes it.
void local_instance::close_connection(connection& conn) {
    if (conn.stream != nullptr) {
        conn.stream->abort();
        conn.stream = nullptr;
    }
    const auto found = std::find_if(
        this->connections.begin(),
        this->connections.end(),
        [&](const auto& one) {
            return one.get() == &conn;
        }
    );
    if (found == this->connections.end()) {
        return;
    }
    // Functions on the call stack may still use it.
    std::shared_ptr<connection> last{std::move(*found)};
    this->connections.erase(found);
    this->timers.after(0ms, [last] {});
}

} // namespace apricotstile::sidecar

// Answers to callers: those of instances, and this daemon's own.

#include <apricotstile/edge/internal/pending_request.hpp>
#include <apricotstile/peer/log_format.hpp>

#include <apricotstile/core/hashing.hpp>
#include <apricotstile/log/logger.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace apricotstile::edge {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t status_unavailable = 503;

constexpr std::uint16_t first_server_error = 500;

constexpr std::uint16_t status_bad_gateway = 502;

/// After a refusal for lack of memory: slow callers take seconds to read what
/// is held for them.
constexpr duration memory_retry_after = 1s;

constexpr auto log_prefix = "ingress";

std::string seconds_text(duration value) {
    return fmt::format("{:.3f}", std::chrono::duration<double>(value).count());
}

} // namespace

/// Refuses a request that hasn't been received completely.
void request_router::refuse_while_received(caller_id caller) {
    ++this->counted.requests;
    ++this->counted.refused;
    ++this->counted.unanswered["503_memory"];
    ++this->memory.refused;
    log::write(
        log::level::warning,
        log_prefix,
        "Request refused while it was received: it would take too much memory.",
        {{"reserved", std::to_string(this->memory.reserved)},
         {"limit", std::to_string(this->memory.limit)}}
    );
    this->callers.at(caller)->respond_unread(
        status_unavailable, {{"Retry-After", seconds_text(memory_retry_after)}}
    );
}

void request_router::refuse_for_memory(pending_request& request) {
    ++this->memory.refused;
    this->answer_locally(
        request, status_unavailable, "memory", memory_retry_after
    );
}

bool request_router::exceeds_memory(
    const pending_request& request, const peer::routed_response& response
) const {
    return request.route->idempotent && !response.body.empty() &&
           serving::exceeds_hard_limit(this->memory, 0);
}

void request_router::answer_locally(
    pending_request& request,
    std::uint16_t status,
    const char* reason,
    duration retry_after
) {
    std::vector<http::header> headers;
    if (!request.id.empty()) {
        headers.push_back({this->dependencies.names.request_id, request.id});
    }
    if (status == status_unavailable) {
        ++this->counted.refused;
        serving::note_refused(
            this->retrying_callers,
            {request.content_hash,
             request.caller_deadline,
             request.first_attempt}
        );
        constexpr duration least = 30ms;
        headers.push_back(
            {"Retry-After", seconds_text(std::max(retry_after, least))}
        );
    } else {
        ++this->counted.failed;
    }
    ++this->counted.unanswered[fmt::format("{}_{}", status, reason)];
    log::write(
        log::level::warning,
        log_prefix,
        "Request not answered by an instance.",
        {{"request", request.id},
         {"route", request.route->name},
         {"service", request.service.value},
         {"key", request.key ? std::to_string(*request.key) : "none"},
         {"status", std::to_string(status)},
         {"reason", reason},
         {"attempts", request.attempt_trace},
         {"after_ms",
          peer::millis_text(boot_clock::now() - request.progress.arrived)},
         {"config", std::to_string(request.table->config.version.value)}}
    );
    const caller_id caller = request.caller;
    this->forget_request(caller);
    const auto connection = this->callers.find(caller);
    if (connection != this->callers.end()) {
        connection->second->respond(status, headers, {}, this->closing);
    }
}

void request_router::deliver(
    pending_request& request, peer::routed_response&& response
) {
    serving::note_answer_size(
        this->answer_sizes, name_hash(request.route->name), response.body.size()
    );
    request.memory.set(0);
    if (this->exceeds_memory(request, response)) {
        ++this->memory.refused;
        this->answer_locally(request, status_bad_gateway, "memory", 0s);
        return;
    }
    ++this->counted.answered;
    metrics::record(
        this->counted.latencies[request.service],
        boot_clock::now() - request.progress.arrived
    );
    std::vector<http::header> headers = std::move(response.headers);
    if (!request.id.empty()) {
        headers.push_back({this->dependencies.names.request_id, request.id});
    }
    if (response.status >= first_server_error) {
        log::write(
            log::level::info,
            log_prefix,
            "Instance answered a request with a server error.",
            {{"request", request.id},
             {"route", request.route->name},
             {"status", std::to_string(response.status)},
             {"attempts", request.attempt_trace}}
        );
    }
    const caller_id caller = request.caller;
    this->forget_request(caller);
    const auto connection = this->callers.find(caller);
    if (connection != this->callers.end()) {
        connection->second->respond(
            response.status, headers, response.body, this->closing
        );
    }
}

void request_router::forget_request(caller_id caller) {
    const auto found = this->requests.find(caller);
    this->timers.cancel(found->second->deadline_timer);
    this->timers.cancel(found->second->retry_timer);
    this->requests.erase(found);
}

} // namespace apricotstile::edge

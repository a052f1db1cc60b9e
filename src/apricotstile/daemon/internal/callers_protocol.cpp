// Paths, headers and status codes of the callers' interface.

#include <apricotstile/daemon/internal/callers_protocol.hpp>

#include <apricotstile/request/ticket.hpp>

#include <fmt/format.h>

#include <charconv>

namespace apricotstile::daemon::internal {

namespace {

using namespace std::chrono_literals;
using request::outcome;
using request::refusal;

constexpr std::string_view path_prefix = "/v1/";
constexpr std::chrono::milliseconds default_deadline = 1000ms;
constexpr std::chrono::milliseconds longest_deadline = 60000ms;
constexpr std::size_t longest_key_bytes = 512;

constexpr std::uint16_t status_malformed = 400;
constexpr std::uint16_t status_forbidden = 403;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_conflict = 409;
constexpr std::uint16_t status_too_many = 429;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::uint16_t status_unknown = 504;

bool is_idempotent(std::string_view method) {
    return method == "GET" || method == "HEAD" || method == "PUT" ||
           method == "DELETE" || method == "OPTIONS";
}

bool is_forwarded(std::string_view method) {
    return is_idempotent(method) || method == "POST" || method == "PATCH";
}

/// Splits "SERVICE/KEY/REST" and decodes service and key.
bool read_path(std::string_view path, request::routed_request& request) {
    if (!path.starts_with(path_prefix)) {
        return false;
    }
    path.remove_prefix(path_prefix.size());
    const std::size_t service_end = path.find('/');
    if (service_end == std::string_view::npos) {
        return false;
    }
    request.service.value = http::percent_decoded(path.substr(0, service_end));
    path.remove_prefix(service_end + 1);
    const std::size_t key_end = std::min(path.find('/'), path.size());
    request.key = http::percent_decoded(path.substr(0, key_end));
    request.target = path.substr(key_end);
    if (request.target.empty()) {
        request.target = "/";
    }
    return !request.service.value.empty() && !request.key.empty() &&
           request.key.size() <= longest_key_bytes;
}

bool read_deadline(std::string_view text, duration& time_left) {
    std::uint64_t milliseconds = default_deadline.count();
    if (!text.empty()) {
        const char* const end = text.data() + text.size();
        const auto [stop, error] =
            std::from_chars(text.data(), end, milliseconds);
        if (error != std::errc{} || stop != end || milliseconds == 0) {
            time_left = default_deadline;
            return false;
        }
    }
    time_left = std::chrono::milliseconds{
        std::min<std::uint64_t>(milliseconds, longest_deadline.count())};
    return true;
}

std::uint16_t status_of(refusal reason) {
    switch (reason) {
    case refusal::malformed:
        return status_malformed;
    case refusal::unknown_service:
        return status_not_found;
    case refusal::unknown_customer:
    case refusal::not_allowed_by_plan:
        return status_forbidden;
    case refusal::over_plan:
        return status_too_many;
    case refusal::key_reused_with_other_body:
        return status_conflict;
    default:
        return status_unavailable;
    }
}

void add_retry_after(http::http_response& out, duration pause) {
    const auto milliseconds =
        std::chrono::ceil<std::chrono::milliseconds>(pause);
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(pause);
    out.headers.push_back({"Retry-After", std::to_string(seconds.count())});
    out.headers.push_back(
        {"Apricotstile-Retry-After-Ms", std::to_string(milliseconds.count())}
    );
}

} // namespace

parsed_request parse_caller_request(http::http_request&& message) {
    parsed_request result;
    request::routed_request& request = result.request;
    const bool deadline_ok = read_deadline(
        header_value(message.headers, "Apricotstile-Deadline-Ms"),
        request.time_left
    );
    request.customer.value =
        header_value(message.headers, "Apricotstile-Customer");
    request.caller_key.value = header_value(message.headers, "Idempotency-Key");
    request.ticket = header_value(message.headers, "Apricotstile-Ticket");
    // A request for a ticket runs nothing.
    request.idempotent = is_idempotent(message.method) ||
                         request.ticket == request::ticket_wanted;
    const bool path_ok = read_path(message.path, request);
    const bool key_ok = request.idempotent || !request.caller_key.value.empty();
    const bool ok = deadline_ok && path_ok && key_ok &&
                    is_forwarded(message.method) &&
                    !request.customer.value.empty();
    if (!ok) {
        result.refusal = refusal::malformed;
    }
    if (!message.query.empty()) {
        request.target += "?" + message.query;
    }
    request.method = std::move(message.method);
    request.body = std::move(message.body);
    return result;
}

http::http_response response_to_caller(const request::routed_response& response
) {
    http::http_response out;
    out.headers.push_back(
        {"Apricotstile-Outcome", std::string{to_string(response.outcome)}}
    );
    if (!response.ticket.empty()) {
        out.headers.push_back({"Apricotstile-Ticket", response.ticket});
    }
    if (response.outcome == outcome::answered) {
        out.status = response.status;
        out.content_type = response.content_type;
        out.body = response.body;
        return out;
    }
    const std::string reason{to_string(response.refusal)};
    out.headers.push_back({"Apricotstile-Refusal", reason});
    out.body = fmt::format(
        R"({{"outcome":"{}","refusal":"{}"}})",
        to_string(response.outcome),
        reason
    );
    out.status = response.outcome == outcome::unknown
                     ? status_unknown
                     : status_of(response.refusal);
    add_retry_after(out, response.retry_after);
    return out;
}

} // namespace apricotstile::daemon::internal

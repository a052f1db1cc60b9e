// Headers towards upstreams and the meaning of their answers.

#include <apricotstile/daemon/internal/upstream_protocol.hpp>

#include <apricotstile/host/address.hpp>

#include <fmt/format.h>

namespace apricotstile::daemon::internal {

namespace {

using namespace std::chrono_literals;
using http::exchange_failure;
using request::outcome;
using request::refusal;

constexpr duration refusal_pause = 100ms;

} // namespace

std::string upstream_request_id(const incoming_work& work) {
    return fmt::format("{}/{}", work.origin.host.value, work.request.id.value);
}

http::http_request upstream_request(
    const incoming_work& work,
    slice_id slice,
    fencing_token token,
    duration time_left
) {
    const request::routed_request& request = work.request;
    const auto milliseconds =
        std::chrono::floor<std::chrono::milliseconds>(time_left).count();
    http::http_request out;
    out.method = request.method;
    const std::size_t query_start = request.target.find('?');
    out.path = request.target.substr(0, query_start);
    if (query_start != std::string::npos) {
        out.query = request.target.substr(query_start + 1);
    }
    out.headers = {
        {"Apricotstile-Service", request.service.value},
        {"Apricotstile-Key", request.key},
        {"Apricotstile-Customer", request.customer.value},
        {"Apricotstile-Slice", std::to_string(slice.value)},
        {"Apricotstile-Token", std::to_string(token.value)},
        {"Apricotstile-Request-Id", upstream_request_id(work)},
        {"Apricotstile-Deadline-Ms", std::to_string(milliseconds)}};
    if (!request.caller_key.value.empty()) {
        out.headers.push_back({"Idempotency-Key", request.caller_key.value});
    }
    out.body = request.body;
    return out;
}

request::routed_response
response_of(request_id id, http::exchange_result&& result) {
    request::routed_response response;
    response.id = id;
    if (result.failure == exchange_failure::not_sent) {
        response.outcome = outcome::not_run;
        response.refusal = refusal::upstream_lost;
        response.retry_after = refusal_pause;
        return response;
    }
    if (result.failure != exchange_failure::none) {
        response.outcome = outcome::unknown;
        response.refusal = refusal::upstream_lost;
        return response;
    }
    const bool not_run =
        header_value(result.response.headers, "Apricotstile-Not-Run") == "1";
    if (not_run) {
        response.outcome = outcome::not_run;
        response.refusal = refusal::upstream_refused;
        response.retry_after = refusal_pause;
        return response;
    }
    response.outcome = outcome::answered;
    response.status = result.response.status;
    response.content_type = std::move(result.response.content_type);
    response.body = std::move(result.response.body);
    return response;
}

} // namespace apricotstile::daemon::internal

// Headers towards upstreams and the meaning of their answers.

#include <apricotstile/daemon/internal/upstream_protocol.hpp>

#include <apricotstile/host/address.hpp>

#include <fmt/format.h>

namespace apricotstile::daemon::internal {

namespace {

using http::exchange_failure;

} // namespace

std::string upstream_request_id(const request_origin& origin, request_id id) {
    return fmt::format("{}/{}", origin.host.value, id.value);
}

http::http_request upstream_request(
    const upstream::dispatch_work& work,
    const request_origin& origin,
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
        {"Apricotstile-Slice", std::to_string(work.slice.value)},
        {"Apricotstile-Token", std::to_string(work.token.value)},
        {"Apricotstile-Request-Id", upstream_request_id(origin, request.id)},
        {"Apricotstile-Deadline-Ms", std::to_string(milliseconds)}};
    if (!request.caller_key.value.empty()) {
        out.headers.push_back({"Idempotency-Key", request.caller_key.value});
    }
    out.body = request.body;
    return out;
}

upstream::call_result call_result_of(http::exchange_result&& result) {
    using upstream::call_end;
    upstream::call_result end;
    if (result.failure == exchange_failure::not_sent) {
        end.end = call_end::not_run;
        return end;
    }
    if (result.failure != exchange_failure::none) {
        end.end = result.failure == exchange_failure::timed_out
                      ? call_end::timed_out
                      : call_end::lost;
        return end;
    }
    const bool not_run =
        header_value(result.response.headers, "Apricotstile-Not-Run") == "1";
    end.end = not_run ? call_end::not_run : call_end::answered;
    end.status = result.response.status;
    end.content_type = std::move(result.response.content_type);
    end.body = std::move(result.response.body);
    return end;
}

} // namespace apricotstile::daemon::internal

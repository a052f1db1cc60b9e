// Translation between callers' HTTP and routed requests.

#ifndef APRICOTSTILE_DAEMON_INTERNAL_CALLERS_PROTOCOL_HPP
#define APRICOTSTILE_DAEMON_INTERNAL_CALLERS_PROTOCOL_HPP

#include <apricotstile/http/message.hpp>
#include <apricotstile/request/routed_request.hpp>

namespace apricotstile::daemon::internal {

struct parsed_request {
    /// `none` when the request is well formed.
    request::refusal refusal{request::refusal::none};
    /// Its `time_left` is set even when the request is refused.
    request::routed_request request;
};

/// Reads METHOD /v1/SERVICE/KEY[/REST][?QUERY] and the headers of
/// docs/CALLERS.md.
[[nodiscard]] parsed_request parse_caller_request(http::http_request&& message);

/// The caller's response with its outcome in headers.
[[nodiscard]] http::http_response
response_to_caller(const request::routed_response& response);

} // namespace apricotstile::daemon::internal

#endif

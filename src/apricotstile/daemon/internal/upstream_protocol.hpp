// Translation between routed requests and the upstreams' HTTP.

#ifndef APRICOTSTILE_DAEMON_INTERNAL_UPSTREAM_PROTOCOL_HPP
#define APRICOTSTILE_DAEMON_INTERNAL_UPSTREAM_PROTOCOL_HPP

#include <apricotstile/daemon/messages.hpp>
#include <apricotstile/http/client_connection.hpp>
#include <apricotstile/http/message.hpp>
#include <apricotstile/upstream/dispatch_work.hpp>

#include <string>

namespace apricotstile::daemon::internal {

/// The id that an upstream sees: unique over all daemons.
[[nodiscard]] std::string
upstream_request_id(const request_origin& origin, request_id id);

/// The request for the upstream, fenced by the work's token.
[[nodiscard]] http::http_request upstream_request(
    const upstream::dispatch_work& work,
    const request_origin& origin,
    duration time_left
);

/// What an exchange with an upstream means for the request.
[[nodiscard]] upstream::call_result
call_result_of(http::exchange_result&& result);

} // namespace apricotstile::daemon::internal

#endif

// Translation between routed requests and the upstreams' HTTP.

#ifndef APRICOTSTILE_DAEMON_INTERNAL_UPSTREAM_PROTOCOL_HPP
#define APRICOTSTILE_DAEMON_INTERNAL_UPSTREAM_PROTOCOL_HPP

#include <apricotstile/daemon/messages.hpp>
#include <apricotstile/http/client_connection.hpp>
#include <apricotstile/http/message.hpp>

#include <string>

namespace apricotstile::daemon::internal {

/// The id that an upstream sees: unique over all daemons.
[[nodiscard]] std::string upstream_request_id(const incoming_work& work);

/// The request for the upstream, fenced by `token`.
[[nodiscard]] http::http_request upstream_request(
    const incoming_work& work,
    slice_id slice,
    fencing_token token,
    duration time_left
);

/// What an exchange with an upstream means for the request.
[[nodiscard]] request::routed_response
response_of(request_id id, http::exchange_result&& result);

} // namespace apricotstile::daemon::internal

#endif

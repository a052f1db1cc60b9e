// Actions that the ingress daemon must take for its requests.

#ifndef APRICOTSTILE_REQUEST_INGRESS_ACTION_HPP
#define APRICOTSTILE_REQUEST_INGRESS_ACTION_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/request/outcome.hpp>
#include <apricotstile/request/routed_request.hpp>

#include <optional>
#include <variant>
#include <vector>

namespace apricotstile::request {

/// Choose a host for `id` and report `route_found` or `no_route`.
struct find_route {
    request_id id;
    /// The host where it has just failed; zero for none. Only a hint for keyed
    /// requests.
    host_id avoid;
};

/// Send request `id` to `host` with `stream` as its id on the wire.
struct send_to_host {
    request_id id;
    request_id stream;
    host_id host;
    duration time_left{0};
    map_version routed_by;
};

/// Tell `host` to cancel `stream`, since no caller waits for it any more.
struct cancel_stream {
    request_id stream;
    host_id host;
};

/// Answer the caller of `id`; the ingress has removed the request.
struct answer_caller {
    request_id id;
    request::outcome outcome{request::outcome::unknown};
    request::refusal refusal{request::refusal::none};
    /// Time after which the caller may retry; zero for immediately.
    duration retry_after{0};
    /// The upstream's complete answer; present only with `answered`.
    std::optional<routed_response> response;
    /// A new ticket if the owner sent one.
    std::string ticket;
};

/// Fetch a map of at least `version` from peer `from`.
struct fetch_map {
    map_version version;
    host_id from;
};

using ingress_action = std::
    variant<find_route, send_to_host, cancel_stream, answer_caller, fetch_map>;

using ingress_actions = std::vector<ingress_action>;

} // namespace apricotstile::request

#endif

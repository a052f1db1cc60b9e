// What the ingress daemon is to do about its requests.

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
    /// Where it has just failed; zero for none. Only a hint for keyed work.
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

/// Tell `host` that nobody waits for `stream` any more.
struct cancel_stream {
    request_id stream;
    host_id host;
};

/// Answer the caller of `id`; the request is then gone from the ingress.
struct answer_caller {
    request_id id;
    request::outcome outcome{request::outcome::unknown};
    request::refusal refusal{request::refusal::none};
    /// When the caller may come back; zero for "any time".
    duration retry_after{0};
    /// The upstream's whole answer; present exactly with `answered`.
    std::optional<routed_response> response;
    /// A fresh ticket when the owner sent one.
    std::string ticket;
};

/// Get a map of at least `version` from a peer.
struct fetch_map {
    map_version version;
    host_id from;
};

using ingress_action = std::
    variant<find_route, send_to_host, cancel_stream, answer_caller, fetch_map>;

using ingress_actions = std::vector<ingress_action>;

} // namespace apricotstile::request

#endif

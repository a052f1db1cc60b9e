// Names of the HTTP headers that callers, upstream instances and this daemon
// exchange. They are set by the adapter of a deployment.

#ifndef APRICOTSTILE_HTTP_HEADER_NAMES_HPP
#define APRICOTSTILE_HTTP_HEADER_NAMES_HPP

#include <apricotstile/http/message.hpp>

#include <string>
#include <vector>

namespace apricotstile::http {

struct header_names {
    /// The caller's id of a request; also sent to the instance and returned in
    /// responses.
    std::string request_id;
    /// Milliseconds until the sender stops waiting.
    std::string remaining_deadline;
    /// Local service of the daemon that received the request from its caller.
    std::string caller_service;
    /// Key of a request to a keyed service, as a decimal number.
    std::string key;
    /// In a response: the instance's signature, which proves that the response
    /// is its own.
    std::string signature;
    /// In a response: the instance didn't execute the request.
    std::string not_executed;
    /// Id of the only instance that may execute the request.
    std::string expected_instance;
    /// In a response: the instance's running requests, waiting requests and
    /// slots, and perhaps how long work takes now, in percent of the usual.
    std::string server_load;
    /// In a response: the requests a second that the instance accepts, as a
    /// decimal number. Without it there is no such limit.
    std::string server_limit;
    /// In a response: "1" if the instance is leaving.
    std::string server_leaving;
    /// In a response: the milliseconds for which the instance stays cold.
    std::string cold_remaining;
};

/// Whether an instance says in its response that it leaves.
[[nodiscard]] inline bool says_leaving(
    const std::vector<http::header>& headers, const header_names& names
) {
    return http::header_value(headers, names.server_leaving) == "1";
}

} // namespace apricotstile::http

#endif

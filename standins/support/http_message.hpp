// HTTP requests and replies of the stand-ins as plain data.

#ifndef APRICOTSTILE_STANDINS_SUPPORT_HTTP_MESSAGE_HPP
#define APRICOTSTILE_STANDINS_SUPPORT_HTTP_MESSAGE_HPP

#include <map>
#include <string>
#include <string_view>

namespace apricotstile::standins {

struct http_request {
    std::string method;
    /// Without the query, percent-encoded as it was received.
    std::string path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_reply {
    unsigned status{200};
    std::map<std::string, std::string> headers;
    std::string content_type{"application/json"};
    std::string body{"{}"};
};

/// The header `name` (lower case), or an empty string.
[[nodiscard]] std::string
header_of(const http_request& request, const std::string& name);

/// The query parameter `name`, or an empty string.
[[nodiscard]] std::string
parameter_of(const http_request& request, const std::string& name);

/// A reply with an `{"error":...}` body.
[[nodiscard]] http_reply error_reply(unsigned status, std::string_view reason);

/// The reply as it is written to a connection. Without the body, but with its
/// length, when `head_only` is set.
[[nodiscard]] std::string to_bytes(const http_reply& reply, bool head_only);

} // namespace apricotstile::standins

#endif

// HTTP requests and responses as the daemon's parts pass them on.

#ifndef APRICOTSTILE_HTTP_MESSAGE_HPP
#define APRICOTSTILE_HTTP_MESSAGE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace apricotstile::http {

struct header {
    std::string name;
    std::string value;
};

struct http_request {
    std::string method;
    /// Percent-encoded path, beginning with '/'.
    std::string path;
    /// Without the '?', percent-encoded; may be empty.
    std::string query;
    std::vector<header> headers;
    std::string body;
};

struct http_response {
    std::uint16_t status{200};
    std::string content_type{"application/json"};
    std::vector<header> headers;
    std::string body;
    /// Closes the connection after this response.
    bool close{false};
};

/// The first header called `name` in any case, or an empty text.
[[nodiscard]] std::string_view
header_value(const std::vector<header>& headers, std::string_view name);

/// The bytes of `response` as HTTP/1.1.
[[nodiscard]] std::string to_wire(const http_response& response);

/// The bytes of `request` as HTTP/1.1 for the server called `host`.
[[nodiscard]] std::string
to_wire(const http_request& request, std::string_view host);

/// `text` without percent-encoding. Malformed escapes stay as they are.
[[nodiscard]] std::string percent_decoded(std::string_view text);

} // namespace apricotstile::http

#endif

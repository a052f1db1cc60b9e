// HTTP requests and responses, and their serialization.

#ifndef APRICOTSTILE_HTTP_MESSAGE_HPP
#define APRICOTSTILE_HTTP_MESSAGE_HPP

#include <cstddef>
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

/// The value of the first header with this name, ignoring case; empty if there
/// is none.
[[nodiscard]] std::string_view
header_value(const std::vector<header>& headers, std::string_view name);

/// How many headers have this name, ignoring case.
[[nodiscard]] std::size_t
header_count(const std::vector<header>& headers, std::string_view name);

/// Whether a status is one of a final response: 200 to 599.
[[nodiscard]] bool is_final_status(unsigned status);

/// Serializes `response` as HTTP/1.1.
[[nodiscard]] std::string to_wire(const http_response& response);

/// Serializes `request` as HTTP/1.1; `host` becomes the Host header.
[[nodiscard]] std::string
to_wire(const http_request& request, std::string_view host);

/// Decodes percent-encoded `text`. Malformed escapes are left unchanged.
[[nodiscard]] std::string percent_decoded(std::string_view text);

} // namespace apricotstile::http

#endif

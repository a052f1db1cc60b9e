// Access to requests and the bytes of replies.

#include <standins/support/http_message.hpp>

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace apricotstile::standins {

namespace {

std::string value_of(
    const std::map<std::string, std::string>& from, const std::string& at
) {
    const auto found = from.find(at);
    return found == from.end() ? std::string{} : found->second;
}

std::string reason_phrase(unsigned status) {
    const auto known = boost::beast::http::int_to_status(status);
    return std::string{boost::beast::http::obsolete_reason(known)};
}

} // namespace

std::string header_of(const http_request& request, const std::string& name) {
    return value_of(request.headers, name);
}

std::string parameter_of(const http_request& request, const std::string& name) {
    return value_of(request.query, name);
}

http_reply error_reply(unsigned status, std::string_view reason) {
    http_reply reply;
    reply.status = status;
    reply.body = nlohmann::json{{"error", reason}}.dump();
    return reply;
}

std::string to_bytes(const http_reply& reply, bool head_only) {
    std::string bytes = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
        reply.status,
        reason_phrase(reply.status),
        reply.content_type,
        reply.body.size()
    );
    for (const auto& [name, value] : reply.headers) {
        bytes += fmt::format("{}: {}\r\n", name, value);
    }
    bytes += "\r\n";
    if (!head_only) {
        bytes += reply.body;
    }
    return bytes;
}

} // namespace apricotstile::standins

// Header lookup, and serialization with Boost.Beast.

#include <apricotstile/http/message.hpp>

#include <boost/beast/core/ostream.hpp>
#include <boost/beast/http.hpp>

#include <QByteArray>

#include <algorithm>
#include <cctype>
#include <sstream>

namespace apricotstile::http {

namespace {

namespace beast_http = boost::beast::http;

constexpr unsigned http_1_1 = 11;

bool same_character(char left, char right) {
    return std::tolower(static_cast<unsigned char>(left)) ==
           std::tolower(static_cast<unsigned char>(right));
}

bool has_name(const header& one, std::string_view name) {
    return std::equal(
        one.name.begin(),
        one.name.end(),
        name.begin(),
        name.end(),
        same_character
    );
}

template <class Message>
std::string serialized(Message& message) {
    message.prepare_payload();
    std::ostringstream stream;
    stream << message;
    return std::move(stream).str();
}

} // namespace

std::string_view
header_value(const std::vector<header>& headers, std::string_view name) {
    const auto found =
        std::find_if(headers.begin(), headers.end(), [&](const header& one) {
            return has_name(one, name);
        });
    return found == headers.end() ? std::string_view{} : found->value;
}

std::size_t
header_count(const std::vector<header>& headers, std::string_view name) {
    return static_cast<std::size_t>(std::count_if(
        headers.begin(),
        headers.end(),
        [&](const header& one) {
            return has_name(one, name);
        }
    ));
}

bool is_final_status(unsigned status) {
    constexpr unsigned first = 200;
    constexpr unsigned last = 599;
    return first <= status && status <= last;
}

std::string to_wire(const http_response& response) {
    beast_http::response<beast_http::string_body> message;
    message.version(http_1_1);
    message.result(response.status);
    message.set(beast_http::field::content_type, response.content_type);
    if (response.close) {
        message.set(beast_http::field::connection, "close");
    }
    for (const header& one : response.headers) {
        message.set(one.name, one.value);
    }
    message.body() = response.body;
    return serialized(message);
}

std::string to_wire(const http_request& request, std::string_view host) {
    beast_http::request<beast_http::string_body> message;
    message.version(http_1_1);
    message.method_string({request.method.data(), request.method.size()});
    const std::string target = request.query.empty()
                                   ? request.path
                                   : request.path + "?" + request.query;
    message.target(target);
    message.set(
        beast_http::field::host, boost::string_view{host.data(), host.size()}
    );
    for (const header& one : request.headers) {
        message.set(one.name, one.value);
    }
    message.body() = request.body;
    return serialized(message);
}

std::string percent_decoded(std::string_view text) {
    return QByteArray::fromPercentEncoding(
               QByteArray{text.data(), static_cast<qsizetype>(text.size())}
    )
        .toStdString();
}

} // namespace apricotstile::http

// Maps each method of Qt's HTTP server to its name.

#include <apricotstile/http/method_name.hpp>

namespace apricotstile::http {

std::string method_name(QHttpServerRequest::Method method) {
    switch (method) {
    case QHttpServerRequest::Method::Get:
        return "GET";
    case QHttpServerRequest::Method::Put:
        return "PUT";
    case QHttpServerRequest::Method::Delete:
        return "DELETE";
    case QHttpServerRequest::Method::Post:
        return "POST";
    case QHttpServerRequest::Method::Head:
        return "HEAD";
    case QHttpServerRequest::Method::Options:
        return "OPTIONS";
    case QHttpServerRequest::Method::Patch:
        return "PATCH";
    default:
        return "UNKNOWN";
    }
}

} // namespace apricotstile::http

// Converts the method enumeration of Qt's HTTP server to method names.

#ifndef APRICOTSTILE_HTTP_METHOD_NAME_HPP
#define APRICOTSTILE_HTTP_METHOD_NAME_HPP

#include <QHttpServerRequest>

#include <string>

namespace apricotstile::http {

/// The method name as used in a request line, or "UNKNOWN".
[[nodiscard]] std::string method_name(QHttpServerRequest::Method method);

} // namespace apricotstile::http

#endif

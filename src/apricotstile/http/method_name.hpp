// Names of the methods that Qt's HTTP server tells apart.

#ifndef APRICOTSTILE_HTTP_METHOD_NAME_HPP
#define APRICOTSTILE_HTTP_METHOD_NAME_HPP

#include <QHttpServerRequest>

#include <string>

namespace apricotstile::http {

/// The method as it stands in a request line, or "UNKNOWN".
[[nodiscard]] std::string method_name(QHttpServerRequest::Method method);

} // namespace apricotstile::http

#endif

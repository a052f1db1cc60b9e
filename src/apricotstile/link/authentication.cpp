// HMAC-SHA-256 by Qt.

#include <apricotstile/link/authentication.hpp>

#include <QByteArrayView>
#include <QMessageAuthenticationCode>

namespace apricotstile::link {

namespace {

constexpr std::string_view datagram_context = "datagram";

QByteArrayView view_of(std::string_view text) {
    return {text.data(), static_cast<qsizetype>(text.size())};
}

} // namespace

std::string authentication_code(
    std::string_view key, std::string_view context, std::string_view payload
) {
    QMessageAuthenticationCode code{
        QCryptographicHash::Sha256, view_of(key).toByteArray()};
    code.addData(context.data(), static_cast<qsizetype>(context.size()));
    code.addData(payload.data(), static_cast<qsizetype>(payload.size()));
    return code.result().first(code_bytes).toStdString();
}

bool same_code(std::string_view left, std::string_view right) {
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t index = 0; index < left.size(); ++index) {
        difference |= static_cast<unsigned char>(left[index]) ^
                      static_cast<unsigned char>(right[index]);
    }
    return difference == 0;
}

std::string seal_datagram(std::string_view key, std::string_view payload) {
    std::string datagram = authentication_code(key, datagram_context, payload);
    datagram += payload;
    return datagram;
}

std::optional<std::string>
open_datagram(std::string_view key, std::string_view datagram) {
    if (datagram.size() < code_bytes) {
        return std::nullopt;
    }
    const std::string_view payload = datagram.substr(code_bytes);
    const std::string wanted =
        authentication_code(key, datagram_context, payload);
    if (!same_code(wanted, datagram.substr(0, code_bytes))) {
        return std::nullopt;
    }
    return std::string{payload};
}

} // namespace apricotstile::link

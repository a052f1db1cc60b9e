// Sends announcements on a timer.

#include <standins/upstream/announcer.hpp>

#include <QNetworkReply>
#include <QNetworkRequest>

namespace apricotstile::standins {

namespace {

constexpr std::chrono::milliseconds announce_interval{500};
constexpr int announce_timeout_ms = 400;

} // namespace

announcer::announcer(
    const std::string& daemon,
    std::string own_address,
    std::vector<served_service> announced
)
    : url(QString::fromStdString("http://" + daemon + "/announce")),
      address(std::move(own_address)), services(std::move(announced)) {
    QObject::connect(&this->timer, &QTimer::timeout, &this->timer, [this] {
        this->announce();
    });
    this->timer.start(announce_interval);
    this->announce();
}

void announcer::announce_leaving() {
    this->leaving = true;
    this->announce();
}

bool announcer::leaving_is_known() const {
    return this->leaving_answered;
}

void announcer::announce() {
    QNetworkRequest request{this->url};
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    request.setTransferTimeout(announce_timeout_ms);
    const std::string body =
        announcement(this->address, this->leaving, this->services);
    QNetworkReply* const reply =
        this->network.post(request, QByteArray::fromStdString(body));
    const bool said_leaving = this->leaving;
    QObject::connect(
        reply,
        &QNetworkReply::finished,
        &this->timer,
        [this, reply, said_leaving] {
            const bool answered = reply->error() == QNetworkReply::NoError;
            this->leaving_answered |= said_leaving && answered;
            reply->deleteLater();
        }
    );
}

} // namespace apricotstile::standins

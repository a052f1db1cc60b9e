// Announces the upstream to the daemon beside it, again and again.

#ifndef APRICOTSTILE_STANDINS_UPSTREAM_ANNOUNCER_HPP
#define APRICOTSTILE_STANDINS_UPSTREAM_ANNOUNCER_HPP

#include <standins/upstream/served_service.hpp>

#include <QNetworkAccessManager>
#include <QTimer>

#include <string>
#include <vector>

namespace apricotstile::standins {

class announcer {
public:
    announcer(
        const std::string& daemon,
        std::string own_address,
        std::vector<served_service> announced
    );

    /// From now on the announcements say "leaving"; one goes out at once.
    void announce_leaving();

    /// True once the daemon has answered an announcement of leaving.
    [[nodiscard]] bool leaving_is_known() const;

private:
    void announce();

    QUrl url;
    std::string address;
    std::vector<served_service> services;
    bool leaving{false};
    bool leaving_answered{false};
    QNetworkAccessManager network;
    QTimer timer;
};

} // namespace apricotstile::standins

#endif

// TCP links to peer daemons. Each direction of a pair has one long-lived link
// for its requests; answers come back on the same link.

#ifndef APRICOTSTILE_DAEMON_LINK_DUTY_HPP
#define APRICOTSTILE_DAEMON_LINK_DUTY_HPP

#include <apricotstile/daemon/duty.hpp>
#include <apricotstile/daemon/inbox.hpp>
#include <apricotstile/daemon/messages.hpp>
#include <apricotstile/daemon/routing_view.hpp>
#include <apricotstile/host/address.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

class QTcpServer;
class QTcpSocket;
class QTimer;

namespace apricotstile::daemon {

namespace internal {
struct peer_connection;
}

struct link_wiring {
    address peers;
    std::string key;
    published_state& state;
    inbox<ingress_message>& ingress;
    inbox<dispatch_message>& dispatch;
    inbox<control_message>& control;
};

class link_duty : public duty {
public:
    explicit link_duty(const link_wiring& wiring);
    ~link_duty() override;

    inbox<link_message> messages;

protected:
    void set_up() override;
    void tear_down() override;
    [[nodiscard]] nlohmann::json description() const override;

private:
    using connection_number = std::uint64_t;

    internal::peer_connection& open_to(host_id host);
    internal::peer_connection& add(std::unique_ptr<QTcpSocket> socket);
    void accept();
    void send(internal::peer_connection& where, const frame& payload);
    void bytes_arrived(connection_number number);
    void take_frame(internal::peer_connection& where, frame&& received);
    void closed(connection_number number);
    void take(link_message&& message);
    void check_links();
    /// Whether the link isn't worth keeping; pings it when it is quiet.
    [[nodiscard]] bool is_lost(internal::peer_connection& where, instant now);

    link_wiring wiring;
    std::unique_ptr<QTcpServer> listener;
    std::unique_ptr<QTimer> timer;
    std::unordered_map<
        connection_number,
        std::unique_ptr<internal::peer_connection>>
        connections;
    /// The connection that carries requests to each host.
    std::unordered_map<host_id, connection_number> outgoing;
    connection_number last_number{0};
    std::uint64_t frames_sent{0};
    std::uint64_t frames_received{0};
    std::uint64_t bytes_sent{0};
    std::uint64_t bytes_received{0};
    std::uint64_t links_refused{0};
    std::uint64_t links_lost{0};
    std::uint64_t links_silent{0};
    std::uint64_t members_gone{0};
    std::uint64_t pings_sent{0};
    std::uint64_t late_answers{0};
};

} // namespace apricotstile::daemon

#endif

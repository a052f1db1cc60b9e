// Pool of connections to one HTTP server. They are opened on demand up to a
// limit, reused while healthy, and closed when an exchange on them times out.

#ifndef APRICOTSTILE_HTTP_CLIENT_POOL_HPP
#define APRICOTSTILE_HTTP_CLIENT_POOL_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/http/client_connection.hpp>

#include <QTimer>

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace apricotstile::http {

using client_exchange = strong_id<struct client_exchange_tag, std::uint64_t>;

class client_pool {
public:
    /// At most `max_connections` exchanges run at once.
    client_pool(const address& server_address, std::size_t max_connections);
    client_pool(const client_pool&) = delete;
    client_pool& operator=(const client_pool&) = delete;
    ~client_pool();

    /// Whether another exchange can start without exceeding the limit.
    [[nodiscard]] bool has_room() const;
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t idle() const;
    /// Number of exchanges that have timed out.
    [[nodiscard]] std::uint64_t timed_out() const;

    /// Starts an exchange, which ends as `timed_out` if there is no complete
    /// response within `time_allowed`. `done` runs once, later, in this thread.
    /// Throws `std::logic_error` if all connections are in use.
    client_exchange start(
        const http_request& request,
        duration time_allowed,
        client_connection::done_handler done
    );

    /// Closes the connection of the exchange without calling its `done`.
    void abandon(client_exchange exchange);

private:
    struct running_exchange {
        std::unique_ptr<client_connection> connection;
        instant deadline;
        client_connection::done_handler done;
    };

    void handle_finished(client_exchange exchange, exchange_result&& result);
    void expire_exchanges();

    address server_address;
    std::size_t max_connections;
    /// Together with the idle connections never more than `max_connections`,
    /// since a connection is only opened while none is idle.
    std::unordered_map<client_exchange, running_exchange> exchanges;
    std::vector<std::unique_ptr<client_connection>> idle_connections;
    client_exchange last_exchange;
    std::uint64_t timed_out_count{0};
    QTimer timer;
};

} // namespace apricotstile::http

#endif

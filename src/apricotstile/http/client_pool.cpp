// Reuses client connections, times out exchanges and closes unhealthy
// connections.

#include <apricotstile/http/client_pool.hpp>

#include <stdexcept>

namespace apricotstile::http {

namespace {

using namespace std::chrono_literals;

constexpr auto expiry_interval = 5ms;

/// Destroys a connection after its running signal handler has returned.
void destroy_later(std::unique_ptr<client_connection> connection) {
    connection.release()->deleteLater();
}

} // namespace

client_pool::client_pool(
    const address& server_address, std::size_t max_connections
)
    : server_address(server_address), max_connections(max_connections) {
    this->timer.setInterval(expiry_interval);
    QObject::connect(&this->timer, &QTimer::timeout, &this->timer, [this] {
        this->expire_exchanges();
    });
}

client_pool::~client_pool() = default;

bool client_pool::has_room() const {
    return this->exchanges.size() < this->max_connections;
}

std::size_t client_pool::running() const {
    return this->exchanges.size();
}

std::size_t client_pool::idle() const {
    return this->idle_connections.size();
}

std::uint64_t client_pool::timed_out() const {
    return this->timed_out_count;
}

client_exchange client_pool::start(
    const http_request& request,
    duration time_allowed,
    client_connection::done_handler done
) {
    if (!this->has_room()) {
        throw std::logic_error{"all connections to the server are busy"};
    }
    std::unique_ptr<client_connection> connection;
    while (connection == nullptr && !this->idle_connections.empty()) {
        connection = std::move(this->idle_connections.back());
        this->idle_connections.pop_back();
        if (!connection->is_reusable()) {
            connection.reset();
        }
    }
    if (connection == nullptr) {
        connection = std::make_unique<client_connection>(this->server_address);
    }
    this->last_exchange = next(this->last_exchange);
    const client_exchange exchange = this->last_exchange;
    client_connection& used = *connection;
    this->exchanges.emplace(
        exchange,
        running_exchange{
            std::move(connection),
            boot_clock::now() + time_allowed,
            std::move(done)}
    );
    if (!this->timer.isActive()) {
        this->timer.start();
    }
    used.start(request, [this, exchange](exchange_result&& result) {
        this->handle_finished(exchange, std::move(result));
    });
    return exchange;
}

void client_pool::handle_finished(
    client_exchange exchange, exchange_result&& result
) {
    const auto found = this->exchanges.find(exchange);
    running_exchange ended = std::move(found->second);
    this->exchanges.erase(found);
    if (ended.connection->is_reusable()) {
        this->idle_connections.push_back(std::move(ended.connection));
    } else {
        destroy_later(std::move(ended.connection));
    }
    ended.done(std::move(result));
}

void client_pool::abandon(client_exchange exchange) {
    const auto found = this->exchanges.find(exchange);
    if (found == this->exchanges.end()) {
        return;
    }
    found->second.connection->abandon();
    destroy_later(std::move(found->second.connection));
    this->exchanges.erase(found);
}

void client_pool::expire_exchanges() {
    const instant now = boot_clock::now();
    std::vector<client_exchange> overdue;
    for (const auto& [exchange, one] : this->exchanges) {
        if (one.deadline <= now) {
            overdue.push_back(exchange);
        }
    }
    for (const client_exchange exchange : overdue) {
        const auto found = this->exchanges.find(exchange);
        if (found == this->exchanges.end()) {
            continue;
        }
        ++this->timed_out_count;
        const client_connection::done_handler done =
            std::move(found->second.done);
        this->abandon(exchange);
        done({exchange_failure::timed_out, {}});
    }
    if (this->exchanges.empty()) {
        this->timer.stop();
    }
}

} // namespace apricotstile::http

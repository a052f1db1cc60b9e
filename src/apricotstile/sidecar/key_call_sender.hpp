// Sends calls that grant and release keys to the instance beside this daemon.
//
// A grant must not reach a later run of the instance than the one that it is
// for, as that run would hold keys under a token of the earlier one. So grants
// use a connection that certainly leads to the run that sends heartbeats: one
// that was open when the last heartbeat arrived. A release has a connection of
// its own, on which no late response to another call can be mistaken for its.

#ifndef APRICOTSTILE_SIDECAR_KEY_CALL_SENDER_HPP
#define APRICOTSTILE_SIDECAR_KEY_CALL_SENDER_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/net/timer_queue.hpp>
#include <apricotstile/sidecar/key_call_format.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace apricotstile::sidecar {

class key_call_sender {
public:
    using result_handler = std::function<void(const keys::call_result&)>;

    /// A grant call without a response is aborted after `grant_timeout`.
    key_call_sender(
        const address& instance,
        net::timer_queue& timers,
        key_call_format format,
        duration grant_timeout
    );
    key_call_sender(const key_call_sender&) = delete;
    key_call_sender& operator=(const key_call_sender&) = delete;
    ~key_call_sender();

    /// A heartbeat of the run that grants are for has arrived. Opens the
    /// connection for grants if there is none.
    void handle_heartbeat();
    /// Aborts all calls, as the instance has started again. Their results are
    /// not reported.
    void abort_all();

    /// Whether a grant can be sent now.
    [[nodiscard]] bool can_send_grant() const;
    /// `done` is called once, not before this returns, unless the call is
    /// aborted by `abort_all`.
    void send(const keys::grant_call& call, result_handler done);
    void send(const keys::release_call& call, result_handler done);

private:
    struct connection;

    connection& open_connection();
    void open_grant_connection(bool leads_to_current_run);
    void begin(
        connection& conn,
        const std::string& bytes,
        duration timeout,
        result_handler done
    );
    void handle_data(connection& conn, std::string_view bytes);
    void handle_response(connection& conn);
    void handle_end(connection& conn, bool orderly, bool was_open);
    void finish(connection& conn, const keys::call_result& result);
    void close(connection& conn);

    address instance;
    net::timer_queue& timers;
    key_call_format format;
    duration grant_timeout;
    std::vector<std::unique_ptr<connection>> connections;
    /// Null if there is none.
    connection* grant_connection{nullptr};
};

} // namespace apricotstile::sidecar

#endif

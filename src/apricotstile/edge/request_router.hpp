// Accepts callers' requests, chooses an instance for each and answers it.

#ifndef APRICOTSTILE_EDGE_REQUEST_ROUTER_HPP
#define APRICOTSTILE_EDGE_REQUEST_ROUTER_HPP

#include <apricotstile/directory/directory.hpp>
#include <apricotstile/edge/caller_connection.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/http/header_names.hpp>
#include <apricotstile/metrics/histogram.hpp>
#include <apricotstile/net/timer_queue.hpp>
#include <apricotstile/peer/frames.hpp>
#include <apricotstile/routing/route_table.hpp>
#include <apricotstile/serving/answer_sizes.hpp>
#include <apricotstile/serving/caller_eviction.hpp>
#include <apricotstile/serving/instance_choice.hpp>
#include <apricotstile/serving/memory_budget.hpp>
#include <apricotstile/serving/request_progress.hpp>
#include <apricotstile/serving/retrying_callers.hpp>
#include <apricotstile/serving/windowed_retry_budget.hpp>

#include <limits>
#include <map>
#include <memory>
#include <unordered_map>

namespace apricotstile::net {
class acceptor;
}

namespace apricotstile::edge {

/// What the request router needs from the rest of the daemon.
struct request_router_dependencies {
    host_id self;
    location where;
    http::header_names names;
    /// For callers' requests and answers; must outlive the request router and
    /// its timers.
    serving::memory_budget* memory{nullptr};
    /// Callers' connections that are open at once.
    std::size_t max_connections{std::numeric_limits<std::size_t>::max()};
    serving::eviction_policy eviction;
    serving::windowed_retry_budget_policy retry_budget;
    /// A leaving instance gets no requests later than this after one of its
    /// answers said so.
    duration leaving_grace{0};
    const directory::directory* known{nullptr};
    /// The owner of a service's key, or nothing if none is known.
    std::function<std::optional<host_id>(const service_id&, keys::key_number)>
        owner_of;
    /// Reports that the key map of a service may be stale.
    std::function<void(const service_id&)> report_stale_map;
    std::function<bool(host_id)> is_reachable;
    /// Whether the failure domain at this location is evacuated.
    std::function<bool(const location&)> is_evacuated;
    /// Whether instances at this location may still serve their keys. False at
    /// some time after the domain's evacuation began.
    std::function<bool(const location&)> may_serve_keys;
    /// How long a request isn't to be sent to any instance, as it crashes them;
    /// nothing if it may be sent.
    std::function<std::optional<duration>(const http::received_request&)>
        quarantine_left;
    using response_handler = std::function<void(peer::routed_response&&)>;
    /// Forwards a request to the daemon of a host, this one included; returns a
    /// function that cancels it.
    std::function<std::function<void(
    )>(host_id, peer::routed_request&&, response_handler)>
        forward_request;
};

/// Identifies an attempt to have a request served; never reused, so that a late
/// response isn't taken for the one to another request of its connection.
using attempt_id = strong_id<struct attempt_id_tag, std::uint64_t>;

struct request_router_counters {
    std::uint64_t requests{0};
    std::uint64_t answered{0};
    std::uint64_t refused{0};
    std::uint64_t failed{0};
    std::uint64_t no_route{0};
    std::uint64_t disconnected{0};
    std::uint64_t retries{0};
    /// Connections closed, and new ones refused, because there were too many.
    std::uint64_t connections_evicted{0};
    std::uint64_t connections_refused{0};
    /// Connections closed to make room in the memory budget.
    std::uint64_t evicted_for_memory{0};
    /// Requests that no instance answered, by status and reason.
    std::map<std::string, std::uint64_t> unanswered;
    /// Time from a request's arrival to its instance's answer, by service.
    std::map<service_id, metrics::histogram> latencies;
};

class request_router {
public:
    /// Throws `std::runtime_error` if it can't listen.
    request_router(
        const address& listen,
        net::timer_queue& timers,
        request_router_dependencies dependencies
    );
    request_router(const request_router&) = delete;
    request_router& operator=(const request_router&) = delete;
    ~request_router();

    void set_config(std::shared_ptr<const routing::route_table> table);
    /// Sets whether configuration changes reach this daemon. If so, a route
    /// that the configuration lacks doesn't exist.
    void set_config_current(bool current);
    /// Records the load that a daemon reported for its instance.
    void update_load(host_id host, const serving::reported_load& load);
    /// Moves requests that may run elsewhere away from an unresponsive peer.
    void handle_unresponsive_peer(host_id host);
    /// From now on tells callers to close their connections. Every request, new
    /// ones included, is answered by `end`.
    void start_closing(instant end);
    /// Accepts no new connections and closes idle ones. From now on no request
    /// is sent to an instance for the first time: it would have to be cut off
    /// with an unknown outcome if it took long.
    void stop_accepting();

    /// Requests that aren't answered yet.
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::size_t open_connections() const;
    [[nodiscard]] const request_router_counters& counters() const;
    /// What is known of the instance on `host`; null if nothing is.
    [[nodiscard]] const serving::instance_view* instance_view_of(host_id host
    ) const;

private:
    struct pending_request;

    void handle_accept(int descriptor);
    void handle_request(caller_id caller, http::received_request&& request);
    [[nodiscard]] bool admit_connection();
    [[nodiscard]] std::vector<serving::caller_use> uses_of_callers() const;
    [[nodiscard]] bool
    make_room(caller_id caller, std::size_t added, std::size_t message_bytes);
    void evict_for_memory(caller_id caller);
    void log_eviction(caller_id caller) const;
    void log_full();
    void refuse_while_received(caller_id caller);
    void refuse_for_memory(pending_request& request);
    void handle_disconnect(caller_id caller);
    static void log_disconnect(const pending_request& request);
    void start_attempt(pending_request& request);
    void try_another_instance(pending_request& request);
    std::optional<host_id> choose_host(pending_request& request);
    [[nodiscard]] bool has_evacuated_owner(host_id owner) const;
    [[nodiscard]] bool is_evacuated_everywhere(const service_id& service) const;
    [[nodiscard]] bool is_region_allowed(
        const pending_request& request, const region_id& region
    ) const;
    void note_leaving(host_id host, const peer::routed_response& response);
    [[nodiscard]] bool has_left(host_id host) const;
    serving::locality_tier locality_of(const location& where) const;
    void handle_attempt_end(
        caller_id caller,
        attempt_id attempt,
        host_id host,
        peer::routed_response&& response
    );
    void perform_step(
        pending_request& request,
        serving::next_step step,
        peer::routed_response&& response
    );
    void restart_deadline_timer(pending_request& request);
    void handle_unresponsive_attempt_end(
        pending_request& request, peer::routed_response&& response
    );
    void note_attempt_end(host_id host, const peer::routed_response& response);
    bool cancel_attempts(pending_request& request);
    void handle_deadline(caller_id caller);
    /// Whether the answer is too large for the memory that is left, and its
    /// request may be sent again.
    [[nodiscard]] bool exceeds_memory(
        const pending_request& request, const peer::routed_response& response
    ) const;
    void answer_locally(
        pending_request& request,
        std::uint16_t status,
        const char* reason,
        duration retry_after
    );
    void deliver(pending_request& request, peer::routed_response&& response);
    void refuse_early(
        caller_id caller,
        const http::received_request& request,
        std::uint16_t status,
        const char* reason
    );
    void forget_request(caller_id caller);
    peer::routed_request make_routed_request(const pending_request& request
    ) const;
    bool may_retry(const pending_request& request);

    net::timer_queue& timers;
    request_router_dependencies dependencies;
    std::shared_ptr<const routing::route_table> table;
    bool config_current{false};
    bool closing{false};
    /// Whether requests are refused that no instance may have run. Their
    /// answers might not be there before the process exits.
    bool refuses_unsent{false};
    /// Every request must be answered by then; set when closing starts.
    instant answer_deadline{instant::max()};
    std::unique_ptr<net::acceptor> listener;
    caller_events events;
    serving::memory_budget& memory;
    /// When callers are next looked through for memory; none was found before.
    instant next_eviction_at;
    /// Limits the rate of warnings about too many connections.
    instant next_connection_warning;
    caller_id last_caller;
    attempt_id last_attempt;
    std::unordered_map<caller_id, std::unique_ptr<caller_connection>> callers;
    /// At most one for each connection.
    std::unordered_map<caller_id, std::unique_ptr<pending_request>> requests;
    std::unordered_map<host_id, serving::instance_view> views;

    /// An instance that said in an answer to this daemon that it leaves. Kept
    /// here too, as the daemon beside it may restart and forget it.
    struct leaving_instance {
        directory::instance_run instance;
        instant last_request_at;
    };

    std::unordered_map<host_id, leaving_instance> leaving_instances;
    std::map<service_id, serving::windowed_retry_budget> budgets;
    serving::retrying_callers retrying_callers;
    serving::answer_sizes answer_sizes;
    serving::choice_policy choice_policy;
    serving::retry_policy retry_policy;
    random_source random;
    request_router_counters counted;
};

} // namespace apricotstile::edge

#endif

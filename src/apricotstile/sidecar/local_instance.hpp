// The upstream instance beside this daemon: its work queue, its connections
// and the exchanges on them.

#ifndef APRICOTSTILE_SIDECAR_LOCAL_INSTANCE_HPP
#define APRICOTSTILE_SIDECAR_LOCAL_INSTANCE_HPP

#include <apricotstile/directory/entry.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/http/header_names.hpp>
#include <apricotstile/net/timer_queue.hpp>
#include <apricotstile/peer/frames.hpp>
#include <apricotstile/serving/caller_origins.hpp>
#include <apricotstile/serving/memory_budget.hpp>
#include <apricotstile/serving/service_times.hpp>
#include <apricotstile/serving/stated_load.hpp>
#include <apricotstile/serving/work_estimate.hpp>
#include <apricotstile/serving/work_queue.hpp>
#include <apricotstile/upstream/crash_detector.hpp>
#include <apricotstile/upstream/quarantine_records.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace apricotstile::http {
struct received_request;
}

namespace apricotstile::sidecar {

class local_instance {
public:
    using response_handler = std::function<void(peer::routed_response&&)>;
    /// Whether the instance holds `key` now.
    using key_check = std::function<bool(keys::key_number)>;
    /// Whether the request's route allows this region.
    using region_check = std::function<bool(const peer::routed_request&)>;
    /// Reports to the other daemons which requests are suspected of crashing
    /// the instance.
    using crash_report_handler =
        std::function<void(std::vector<upstream::crash_report>&&)>;

    /// The instance says in an answer that it leaves, for the first time in its
    /// run.
    using leaving_handler = std::function<void()>;

    /// `names`, `timers` and `memory` must outlive it, and `memory` its timers.
    local_instance(
        const address& where,
        const http::header_names& names,
        net::timer_queue& timers,
        serving::memory_budget& memory,
        key_check holds_key,
        crash_report_handler on_crash_reports,
        leaving_handler on_leaving
    );
    local_instance(const local_instance&) = delete;
    local_instance& operator=(const local_instance&) = delete;
    ~local_instance();

    /// Sets the instance that requests are for from now on. Requests that wait
    /// for an earlier run of it are refused.
    void
    set_instance(const directory::instance_run& instance, std::uint32_t slots);
    /// Whether new requests may go to the instance.
    void set_open(bool open);
    void set_max_connections(std::uint32_t connections);
    /// Sets whether the instance's service has keys. Its load then has the
    /// usual mean of its service times, otherwise the present one.
    void set_keyed(bool keyed);
    /// Requests are served only if `check` returns true, both when they arrive
    /// and when they start. Without a check, all are.
    void set_region_check(region_check check);
    /// Sets how many hosts there are of each service.
    void set_host_counts(const std::map<service_id, std::size_t>& hosts);

    /// Sets or removes the limit that applies while the instance is cold.
    void set_cold_policy(const std::optional<serving::cold_policy>& policy);
    /// Sets a function that is called when the instance becomes cold or warm.
    void set_cold_handler(std::function<void()> on_cold_change);
    /// A heartbeat has arrived, with the time for which the instance says that
    /// it is cold.
    void note_heartbeat(duration cold_remaining, bool is_new_run);

    /// The instance sends no heartbeats and answers nothing.
    void handle_silence();

    /// Submits a request. `done` is called once, possibly before this returns,
    /// unless the request is withdrawn.
    serving::work_id submit(
        peer::routed_request&& request,
        const service_id& caller_service,
        response_handler done
    );
    /// Merges a report of the daemon of `peer` about a request in flight at a
    /// crash.
    void
    handle_crash_report(host_id peer, const upstream::crash_report& report);
    /// Merges the crash counts that were recorded by an earlier run, or beside
    /// another instance.
    void restore_quarantine(const upstream::quarantine_records& records);
    /// How long a request of this service isn't to be sent to any instance;
    /// nothing if it may be sent.
    [[nodiscard]] std::optional<duration> quarantine_left(
        const http::received_request& request, const service_id& caller_service
    );
    /// Identifies this daemon in its reports.
    void set_self(const member::member_ref& self);
    /// Drops a request that nobody waits for any more. If it runs, its
    /// connection is closed so that the instance stops working on it.
    void withdraw(serving::work_id id);

    [[nodiscard]] serving::reported_load load() const;
    /// How long work takes at the instance now, as a multiple of the usual.
    [[nodiscard]] double stated_factor() const;
    /// Whether requests of a route may be nested: running requests may wait for
    /// them.
    [[nodiscard]] bool may_be_nested(std::uint32_t route) const;
    /// Usual service time of a request.
    [[nodiscard]] duration expected_service_time(
        const peer::routed_request& request, const service_id& caller_service
    ) const;
    /// Requests that are waiting or running.
    [[nodiscard]] std::size_t unfinished() const;
    /// Slots that requests can keep busy: those of the instance, or fewer if it
    /// limits its requests or is cold.
    [[nodiscard]] double usable_slots() const;
    /// The same once the instance is warm.
    [[nodiscard]] double warm_slots() const;
    /// Whether the instance is cold, and its requests are limited because of
    /// it.
    [[nodiscard]] bool is_cold() const;
    [[nodiscard]] const serving::cold_limit& cold_state() const;
    /// Waiting and running requests per usable slot.
    [[nodiscard]] double requests_per_slot() const;
    /// Whether a limit leaves some of the instance's slots unused.
    [[nodiscard]] bool is_limited() const;
    /// When the instance last answered.
    [[nodiscard]] instant last_answer() const;
    [[nodiscard]] std::size_t open_connections() const;
    /// Bytes of answers that aren't complete yet.
    [[nodiscard]] std::size_t unfinished_answer_bytes() const;
    /// The requests a second that the instance accepts; nothing if it doesn't
    /// limit them.
    [[nodiscard]] std::optional<double> rate_limit() const;
    /// Crashes seen and requests suspected of causing them.
    [[nodiscard]] const upstream::quarantine& request_quarantine() const;

private:
    struct work;
    struct connection;

    /// What is learned of such requests, else the mean of all requests.
    [[nodiscard]] serving::work_estimate
    estimate(std::uint32_t route, const serving::work_features& features) const;
    void perform_actions(const std::vector<serving::work_action>& actions);
    void start(work& item);
    void offer_alone(work& item);
    [[nodiscard]] std::optional<serving::attempt_outcome>
    refusal_of(const peer::routed_request& request) const;
    void refuse_quarantined(
        work& item, const upstream::quarantine_decision& decision
    );
    void send(work& item, connection& conn);
    connection* find_idle_connection(const std::string& request_id);
    connection& open_connection();
    void handle_data(connection& conn, std::string_view bytes);
    bool enforce_answer_memory(const connection& conn);
    void handle_end(connection& conn, bool orderly, bool was_open);
    void handle_answer(connection& conn);
    void read_leaving(const std::vector<http::header>& headers);
    void read_rate_limit(const std::vector<http::header>& headers);
    void set_rate_limit(std::optional<double> per_second);
    void schedule_start();
    void read_stated_load(const std::vector<http::header>& headers);
    void read_cold_time(const std::vector<http::header>& headers);
    void note_cold_time(std::optional<duration> remaining, const char* source);
    void update_cold(const char* source);
    void schedule_cold_check();
    void note_possible_restart();
    void handle_connected(connection& conn);
    void check_after_idle_end(const connection& conn);
    void close_connection(connection& conn);
    void finish(work& item, peer::routed_response&& response);
    void note_unanswered(const work& item, upstream::request_loss loss);
    void note_completed(const work& item);
    void check_still_listening();
    void handle_instance_down();
    void log_crash_counts(
        upstream::fingerprint id, const std::string& source, instant now
    ) const;
    void log_unserved(const work& item, serving::attempt_outcome outcome) const;
    void handle_deadline(serving::work_id id);
    [[nodiscard]] duration mean_time() const;
    std::vector<http::header> headers_for(const work& item) const;

    address where;
    const http::header_names& names;
    net::timer_queue& timers;
    serving::memory_budget& memory;
    key_check holds_key;
    region_check allows_region;
    crash_report_handler on_crash_reports;
    leaving_handler on_leaving;
    upstream::crash_detector crash_detector;
    directory::instance_run instance;
    std::uint32_t max_connections;
    serving::work_queue queue;
    serving::service_times times;
    serving::stated_load stated;
    bool reports_present_mean{false};
    serving::work_model work_model;
    serving::caller_origins origins;
    std::unordered_map<serving::work_id, std::unique_ptr<work>> work_items;
    std::vector<std::unique_ptr<connection>> connections;
    /// Whether the instance has said in an answer that it leaves.
    bool leaving{false};
    /// Requests a second, as the last answer has it.
    std::optional<double> stated_limit;
    serving::work_id last_id;
    instant answered_at;
    /// Whether waiting work is to be started by a timer.
    bool start_scheduled{false};
    /// Whether a check that the instance still listens is due.
    bool listening_check_due{false};
    std::function<void()> on_cold_change;
    /// Whether the instance was cold when that was last checked.
    bool was_cold{false};
    bool cold_check_due{false};
    instant cold_since;
    /// Refusals because of the cold limit until `cold_since`.
    std::uint64_t cold_rejections_before{0};
    /// Limits the rate of warnings about malformed values.
    instant next_cold_warning;
    instant next_load_warning;
};

} // namespace apricotstile::sidecar

#endif

// Discrete-event simulation of the planners, owners and followers of a few
// daemons on a virtual clock, with a fake table and a fake network that inject
// faults. Leases aren't simulated: a lease is renewed until the member is to be
// deposed, and a member is deposed only after its lease has expired.

#ifndef APRICOTSTILE_TESTS_ASSIGNMENT_ASSIGNMENT_WORLD_HPP
#define APRICOTSTILE_TESTS_ASSIGNMENT_ASSIGNMENT_WORLD_HPP

#include <apricotstile/assignment/dispatch.hpp>
#include <apricotstile/assignment/map_follower.hpp>
#include <apricotstile/assignment/owner.hpp>
#include <apricotstile/assignment/planner.hpp>
#include <tests/support/fake_table.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace apricotstile::tests {

/// Protocol faults that the checked invariants must detect. They are created by
/// changing the requests or the inputs of the code under test. All are off in
/// tests of correct behaviour.
struct seeded_faults {
    /// The owner's release transaction has no conditions.
    bool release_not_conditional{false};
    /// The planner's transactions on the map have no conditions.
    bool planner_not_conditional{false};
    /// After a lost response to a release, the owner serves the range again
    /// without reading whether the release took effect.
    bool serves_after_lost_answer{false};
    /// The dispatch decision is made when a request arrives and isn't repeated
    /// when the request leaves the queue.
    bool checks_before_queueing{false};
    /// The owner is told at once that no request is in flight.
    bool releases_before_drained{false};
};

struct queued_request {
    std::string key;
    assignment::dispatch_decision decision_at_arrival;
};

struct simulated_daemon {
    member::member_ref self;
    assignment::planner planner;
    assignment::owner_state owner;
    assignment::map_follower follower;
    bool running{true};
    bool paused{false};
    /// A network partition separates it from the other daemons.
    bool isolated{false};
    bool leaving{false};
    instant lease_until;
    /// While true, the lease isn't renewed and expires.
    bool lease_renewal_stopped{false};
    /// Events that arrived while the daemon was paused.
    std::deque<std::function<void()>> deferred_events;
    /// Number of requests in flight at the upstream, by key.
    std::map<std::string, int> in_flight;
    std::deque<queued_request> queue;
    /// Attempt numbers of drains that were requested and haven't finished.
    std::map<assignment::range_id, std::uint64_t> drains;
    /// The last map version that the follower published.
    map_version published_version;
};

struct simulation_options {
    std::size_t daemons{4};
    std::uint32_t slices{8};
    seeded_faults faults;
    std::uint32_t lost_messages_per_mille{20};
    std::uint32_t duplicated_messages_per_mille{20};
};

struct assignment_simulation {
    assignment_simulation(
        const simulation_options& options, std::uint64_t seed
    );

    void run_for(duration time);

    // Fault injection.
    void set_store_down(bool down);
    /// While on, about half of the responses to writes are lost. Such a write
    /// takes effect soon, late or never.
    void lose_answers(bool lost);
    void pause(std::size_t daemon);
    void resume(std::size_t daemon);
    void set_isolated(std::size_t daemon, bool isolated);
    void crash(std::size_t daemon);
    /// Stops renewing the member's lease and deposes the member once the lease
    /// has expired.
    void depose(std::size_t daemon);
    /// Starts a new incarnation on the host of a daemon whose membership has
    /// ended.
    void restart(std::size_t daemon);
    void leave(std::size_t daemon);
    /// Ends all faults and restarts all daemons that were lost.
    void end_all_faults();

    /// Describes what hasn't recovered after the end of all faults; empty if
    /// every daemon has the current map and every key has one serving owner.
    std::string recovery_failure() const;

    assignment::assignment_map stored_map() const;

    using callback = std::function<void()>;
    void schedule_event(duration delay, callback action);
    void schedule_at_daemon(
        std::size_t index,
        incarnation expected_incarnation,
        duration delay,
        callback action
    );
    duration short_delay();

    void start_daemon(std::size_t index, std::uint64_t incarnation_number);
    void tick(std::size_t index, incarnation expected_incarnation);
    void send_members();
    std::vector<member::member_record> records() const;

    void process(std::size_t index, const assignment::planner_event& event);
    void process(std::size_t index, const assignment::owner_event& event);
    void process(std::size_t index, const assignment::follower_event& event);
    void perform(std::size_t index, const assignment::planner_actions& actions);
    void perform(std::size_t index, const assignment::owner_actions& actions);
    void
    perform(std::size_t index, const assignment::follower_actions& actions);
    template <class Event>
    void submit(
        std::size_t index,
        const platform::submit_transaction& request,
        bool conditional,
        bool serves_without_reading
    );
    void serve_again(std::size_t index);
    template <class Event>
    void read(std::size_t index, const platform::read_rows& request);
    void deliver(
        std::size_t from, host_id to, const assignment::map_message& message
    );
    void report_load(std::size_t index);

    void schedule_arrival(std::size_t index);
    void dispatch_next(std::size_t index);
    assignment::dispatch_decision
    decide(const simulated_daemon& daemon, const std::string& key) const;
    void finish_drains(std::size_t index);

    // Invariant checks.
    void check_dispatchers();
    void check_table();
    void check_published(std::size_t index);
    void check_acknowledged(const assignment::map_change& change);
    void report_violation(const std::string& description);

    simulation_options options;
    random_source random;
    instant now;
    std::multimap<instant, callback> events;
    fake_table table;
    bool losing_answers{false};
    /// Whether owners report load, which makes the planner move ranges.
    bool reporting_load{true};
    std::vector<simulated_daemon> daemons;
    std::map<host_id, member::member_record> members;
    std::vector<std::string> keys;
    /// The map in the table at each version.
    std::map<map_version, assignment::assignment_map> map_history;
    assignment::assignment_map latest_map;
    std::uint64_t dispatched{0};
    std::uint64_t moves{0};
    /// The first violated invariant; empty while there is none.
    std::string violation;
};

} // namespace apricotstile::tests

#endif

// The state of the instance beside this daemon: what it announces, whether it
// may get requests, and its departures, which bind later runs of the daemon
// too.

#include <apricotstile/peer/log_format.hpp>
#include <apricotstile/router/internal/router_implementation.hpp>

#include <apricotstile/core/unix_time.hpp>
#include <apricotstile/log/logger.hpp>

#include <algorithm>

namespace apricotstile::router {

namespace {

/// An instance gets no requests after this many heartbeat intervals without a
/// heartbeat or an answer.
constexpr int max_missed_heartbeats = 3;

/// An instance whose start lies further in the future isn't the one beside this
/// daemon. If it counted as the latest run, heartbeats of the real one would be
/// stale for as long.
constexpr std::chrono::milliseconds max_clock_difference =
    std::chrono::hours{24};

constexpr auto log_prefix = "router";

bool starts_in_future(const directory::instance_run& instance) {
    return instance.started_ms >
           unix_milliseconds() + max_clock_difference.count();
}

} // namespace

/// Returns whether the state has changed.
bool router::implementation::change_state(
    directory::instance_state state, const char* why
) {
    if (this->own_entry.state == state) {
        return false;
    }
    log::write(
        log::level::info,
        log_prefix,
        "Instance state changed.",
        {{"instance", this->own_entry.instance.id},
         {"from", std::string{directory::name_of(this->own_entry.state)}},
         {"to", std::string{directory::name_of(state)}},
         {"why", why}}
    );
    const bool was_ready =
        this->own_entry.state == directory::instance_state::ready;
    this->own_entry.state = state;
    // A draining instance serves its keys until they have moved. If it wasn't
    // ready, an earlier run of this daemon may have acknowledged its departure
    // long ago.
    const bool moves_keys = state == directory::instance_state::draining &&
                            was_ready && this->local_keys;
    this->instance.set_open(
        (state == directory::instance_state::ready || moves_keys) &&
        !this->stop_notice_passed()
    );
    if (moves_keys && this->has_departed()) {
        this->close_after_drain();
    }
    this->publish_entry();
    return true;
}

/// Whether the instance has announced that it leaves, which is final.
bool router::implementation::has_departed() const {
    return this->announced_state == directory::instance_state::draining ||
           directory::has_departed(
               this->own_entry.known_departures, this->own_entry.instance
           );
}

/// Closes an instance that has departed at the end of its drain.
void router::implementation::close_after_drain() {
    this->timers.after(
        this->settings.drain_timeout - drain_margin,
        [this, draining_instance = this->own_entry.instance] {
            if (this->own_entry.instance == draining_instance) {
                this->instance.set_open(false);
            }
        }
    );
}

/// The state that follows from what the instance has announced.
directory::instance_state router::implementation::permitted_state() const {
    if (this->announced_state != directory::instance_state::ready) {
        return this->announced_state;
    }
    if (directory::has_departed(
            this->own_entry.known_departures, this->own_entry.instance
        )) {
        return directory::instance_state::draining;
    }
    if (this->is_evacuated(this->own_entry.where)) {
        return directory::instance_state::draining;
    }
    return this->knows_departures() && this->knows_evacuations()
               ? directory::instance_state::ready
               : directory::instance_state::absent;
}

/// Whether this daemon knows what its earlier runs have acknowledged. Peers
/// count only if the store is away, as each may have missed a departure.
bool router::implementation::knows_departures() const {
    return this->members_loaded ||
           (this->peers_know_departures &&
            boot_clock::now() - this->started >= store_wait_timeout);
}

/// The current instance has announced its departure in another way than by a
/// heartbeat. Its heartbeats may go on to say that it is ready.
void router::implementation::begin_drain(const char* source) {
    const directory::instance_run& instance = this->own_entry.instance;
    this->add_departure({instance.id, instance.started_ms}, source, true);
    if (this->local_keys) {
        this->local_keys->release_all_keys();
    }
}

/// Adds a departure that the instance has announced. `known` tells whether it
/// is the instance that this run of the daemon has accepted heartbeats of.
void router::implementation::add_departure(
    const directory::departure& added, const char* source, bool known
) {
    if (!directory::add_departure(this->own_entry.known_departures, added)) {
        return;
    }
    const duration uptime = boot_clock::now() - this->started;
    log::write(
        log::level::info,
        log_prefix,
        "Instance announced its departure.",
        {{"instance", added.instance_id},
         {"latest_start_ms", std::to_string(added.latest_start_ms)},
         {"source", source},
         {"known", known ? "yes" : "no"},
         {"state", std::string{directory::name_of(this->own_entry.state)}},
         {"daemon_uptime_ms", peer::millis_text(uptime)}}
    );
    this->recorder.expect(this->own_entry.revision + 1);
    this->needs_entry_write = true;
    if (this->change_state(this->permitted_state(), source)) {
        return;
    }
    if (this->drain && !this->drain->is_closed && this->has_departed()) {
        // It drains already as its failure domain is evacuated, which may be
        // withdrawn.
        this->close_after_drain();
    }
    this->publish_entry();
}

/// Adds departures that were announced to earlier runs of this daemon.
void router::implementation::learn_departures(
    const directory::departures& learned, const char* source
) {
    if (!directory::add_departures(this->own_entry.known_departures, learned)) {
        return;
    }
    log::write(
        log::level::info,
        log_prefix,
        "Learned departures of an earlier run.",
        {{"source", source},
         {"departures",
          std::to_string(this->own_entry.known_departures.size())}}
    );
    this->change_state(this->permitted_state(), source);
}

void router::implementation::ask_peers_to_keep_departures() {
    this->links.broadcast(peer::keep_departures_request{
        this->own_entry.revision, this->own_entry.known_departures});
}

/// Stops sending requests to an unresponsive instance until its next heartbeat.
void router::implementation::check_instance_liveness() {
    const bool is_expected =
        this->own_entry.state == directory::instance_state::ready ||
        (this->own_entry.state == directory::instance_state::draining &&
         this->drain);
    if (!is_expected) {
        return;
    }
    const instant last_heard =
        std::max(this->last_heartbeat, this->instance.last_answer());
    if (boot_clock::now() - last_heard >
        this->settings.heartbeat_interval * max_missed_heartbeats) {
        this->announced_state = directory::instance_state::absent;
        this->change_state(this->permitted_state(), "silent");
        this->instance.handle_silence();
        if (this->local_keys) {
            this->local_keys->handle_instance_stopped();
        }
    }
}

heartbeat_result router::handle_heartbeat(
    const keys::heartbeat& received, keys::heartbeat_answer& answer
) {
    implementation& daemon = *this->impl;
    keys::heartbeat heartbeat = received;
    const bool lacks_keys = daemon.local_keys &&
                            daemon.local_keys->grants_by_heartbeat() &&
                            !heartbeat.reports_keys;
    if (heartbeat.service != daemon.settings.service || lacks_keys ||
        starts_in_future(heartbeat.instance)) {
        return heartbeat_result::other_instance;
    }
    const directory::instance_run& current = daemon.own_entry.instance;
    const bool same_instance = heartbeat.instance == current;
    if ((same_instance && heartbeat.sequence <= daemon.last_sequence) ||
        (!same_instance && heartbeat.instance.started_ms <= current.started_ms
        ) ||
        heartbeat.instance == daemon.deregistered_instance) {
        return heartbeat_result::stale;
    }
    daemon.last_sequence = heartbeat.sequence;
    daemon.last_heartbeat = boot_clock::now();
    daemon.instance.set_instance(heartbeat.instance, heartbeat.slots);
    daemon.instance.note_heartbeat(heartbeat.cold_remaining, !same_instance);
    daemon.announced_state = heartbeat.state;
    if (!same_instance || daemon.own_entry.slots != heartbeat.slots) {
        log::write(
            log::level::info,
            log_prefix,
            "Instance announced itself.",
            {{"instance", heartbeat.instance.id},
             {"born_ms", std::to_string(heartbeat.instance.started_ms)},
             {"slots", std::to_string(heartbeat.slots)}}
        );
        daemon.own_entry.instance = heartbeat.instance;
        daemon.own_entry.slots = heartbeat.slots;
        if (daemon.own_entry.state == daemon.permitted_state()) {
            daemon.publish_entry();
        }
    }
    if (heartbeat.state == directory::instance_state::draining) {
        daemon.add_departure(
            {heartbeat.instance.id, heartbeat.instance.started_ms},
            "heartbeat",
            same_instance
        );
    }
    if (daemon.permitted_state() == directory::instance_state::draining) {
        heartbeat.state = directory::instance_state::draining;
    }
    if (daemon.local_keys) {
        if (heartbeat.state == directory::instance_state::draining) {
            daemon.local_keys->release_all_keys();
        }
        answer = daemon.local_keys->handle_heartbeat(heartbeat);
    }
    daemon.change_state(daemon.permitted_state(), "heartbeat");
    return heartbeat_result::accepted;
}

heartbeat_result
router::handle_deregistration(const directory::deregistration& received) {
    implementation& daemon = *this->impl;
    const directory::instance_run& current = daemon.own_entry.instance;
    const bool is_known = received.instance_id == current.id;
    const directory::instance_run instance{
        received.instance_id,
        received.started_ms.value_or(
            is_known ? current.started_ms : unix_milliseconds()
        )};
    if (starts_in_future(instance)) {
        return heartbeat_result::other_instance;
    }
    if (is_known && instance.started_ms < current.started_ms) {
        return heartbeat_result::stale;
    }
    if (instance != current) {
        // This run of the daemon hasn't heard from the instance yet.
        daemon.add_departure(
            {instance.id, instance.started_ms}, "deregistration", false
        );
        return heartbeat_result::accepted;
    }
    if (!directory::has_departed(daemon.own_entry.known_departures, current)) {
        daemon.begin_drain("deregistration");
        return heartbeat_result::accepted;
    }
    // It has announced its departure before, so it stops now.
    daemon.deregistered_instance = current;
    daemon.announced_state = directory::instance_state::absent;
    daemon.change_state(daemon.permitted_state(), "deregistered");
    daemon.instance.set_open(false);
    if (daemon.local_keys) {
        daemon.local_keys->handle_instance_stopped();
    }
    return heartbeat_result::accepted;
}

void router::when_departures_recorded(std::function<void(bool recorded)> done) {
    this->impl->recorder.when_recorded(std::move(done));
}

} // namespace apricotstile::router

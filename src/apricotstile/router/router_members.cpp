// Publishes this daemon's directory entry, over links and in the table, and
// applies the entries of other daemons.

#include <apricotstile/peer/log_format.hpp>
#include <apricotstile/router/internal/router_implementation.hpp>

#include <apricotstile/core/codec.hpp>
#include <apricotstile/log/logger.hpp>

#include <algorithm>
#include <random>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

constexpr duration entry_retry_delay = 250ms;
/// Minimum time between two writes of the row. Peers receive changes at once
/// over their links.
constexpr duration min_entry_write_interval = 1500ms;
/// Between reads of the members, or of a map, until the first one succeeds.
constexpr duration initial_read_interval = 300ms;

/// The row of a daemon whose instance hasn't announced itself is written this
/// long after the start.
constexpr duration first_write_timeout = 1200ms;

/// How long a daemon of a system that starts for the first time waits for a map
/// that its owners send, before it reads the map.
constexpr duration first_map_timeout = 4s;

/// Between reads of a map that isn't there yet.
constexpr duration missing_map_read_interval = 3s;

/// Between reads of the members, or of a map, after one has failed. Longer than
/// a read may take.
constexpr duration failed_read_interval = 3s;

/// Between regular reads of one scope by one daemon, and by any of them: reads
/// only find what links have lost, so the fleet's reads don't grow with it.
constexpr duration min_regular_read_interval = 20s;
constexpr duration regular_read_gap = 2s;

constexpr auto log_prefix = "router";

/// Between the start of an era and a daemon's calls because of it.
duration random_era_delay(std::uint64_t drawn) {
    constexpr std::uint64_t max_delay_ms = 1000;
    return std::chrono::milliseconds{drawn % max_delay_ms};
}

platform::row_key member_row(host_id host) {
    return {"members//" + std::to_string(host.value)};
}

} // namespace

/// The rows of earlier eras count no more. What this daemon knows is written
/// again, at a random moment so that daemons don't all call the store at once.
void router::implementation::handle_new_era(const platform::era_change& change
) {
    log::write(
        log::level::warning,
        log_prefix,
        "The table has begun a new era; writing this daemon's rows again.",
        {{"era", std::to_string(change.era.value)}}
    );
    this->era = change;
    std::random_device random;
    const duration spread =
        change.is_initial ? duration{0} : random_era_delay(random());
    this->entry_version = {};
    this->crash_recorder.begin_era();
    this->needs_entry_write = true;
    this->next_entry_write_at = boot_clock::now() + spread;
    for (auto& [service, cached] : this->key_maps) {
        cached.earlier = cached.map.map;
    }
    if (this->local_keys) {
        this->local_keys->begin_era(change.era, this->is_first_start(), spread);
    }
    this->timers.after(spread, [this] {
        this->read_members();
        for (const auto& [service, cached] : this->key_maps) {
            this->read_map(service);
        }
    });
}

/// Whether no earlier run of any daemon can have granted keys.
bool router::implementation::is_first_start() const {
    return this->era.is_initial && this->settings.is_first_start;
}

void router::implementation::publish_entry() {
    ++this->own_entry.revision;
    directory::merge_entry(this->known_daemons, this->own_entry);
    this->links.publish_entry({this->own_entry, this->reported_load()});
    this->write_entry();
}

/// Whether this daemon knows its earlier row, or that there is none, and what
/// its instance announces. A departure can't wait for the latter.
bool router::implementation::may_write_entry() const {
    const bool is_complete =
        this->announced_state != directory::instance_state::absent ||
        !this->recorder.is_recorded() ||
        boot_clock::now() - this->started >= first_write_timeout;
    const bool knows_row = this->entry_version != platform::row_version{} ||
                           this->members_loaded ||
                           this->settings.is_first_start;
    return is_complete && knows_row;
}

/// Writes this daemon's row if it must be. The row lets daemons find each other
/// and keeps departures; peers get all other changes over their links. If the
/// result of a write isn't known, the row is read to get its version, and then
/// written again.
void router::implementation::write_entry() {
    const instant now = boot_clock::now();
    // A departure is acknowledged once it is written.
    const bool is_early =
        now < this->next_entry_write_at && this->recorder.is_recorded();
    if (!this->needs_entry_write || this->entry_in_flight ||
        !this->may_write_entry() || now < this->entry_retry_at || is_early) {
        return;
    }
    this->needs_entry_write = false;
    this->entry_in_flight = true;
    platform::transaction transaction;
    transaction.conditions.push_back(
        {member_row(this->own_host), this->entry_version}
    );
    transaction.mutations.push_back(
        {member_row(this->own_host), encode(this->own_entry)}
    );
    this->table.submit(
        transaction,
        [this,
         revision =
             this->own_entry.revision](const platform::commit_result& result) {
            this->entry_in_flight = false;
            if (result.status == platform::commit_status::committed) {
                if (this->entry_version == platform::row_version{}) {
                    // Daemons that started at the same time find each other:
                    // of any two, one reads the other's row.
                    this->read_members();
                }
                this->entry_version =
                    std::max(this->entry_version, result.versions.front());
                this->next_entry_write_at =
                    boot_clock::now() + min_entry_write_interval;
                this->recorder.note_recorded(revision);
                // A departure may have been announced meanwhile.
                this->write_entry();
                return;
            }
            this->needs_entry_write = true;
            this->entry_retry_at = boot_clock::now() + entry_retry_delay;
            if (!result.current.empty()) {
                this->merge_member_rows(result.current);
                return;
            }
            if (result.status != platform::commit_status::unavailable) {
                // Gets the row's current version for the next attempt, and
                // departures that an earlier run has written late.
                this->table.read(
                    "members/",
                    [this](const platform::read_result& read) {
                        if (read.answered) {
                            this->merge_member_rows(read.rows);
                        }
                    }
                );
            }
        }
    );
}

void router::implementation::merge_entry(
    const directory::member_entry& received, const char* source
) {
    if (received.host == this->own_host) {
        return;
    }
    const auto earlier = this->known_daemons.entries.find(received.host);
    const bool is_new_run = earlier != this->known_daemons.entries.end() &&
                            earlier->second.run < received.run;
    if (!directory::merge_entry(this->known_daemons, received)) {
        return;
    }
    if (is_new_run) {
        this->links.send_message(
            received.host,
            peer::earlier_departures_frame{
                this->known_daemons.entries.at(received.host).known_departures}
        );
    }
    log::write(
        log::level::info,
        log_prefix,
        "Directory entry of peer changed.",
        {{"peer", peer::format_for_log(received.host)},
         {"service", received.service.value},
         {"instance", received.instance.id},
         {"state", std::string{directory::name_of(received.state)}},
         {"stopping", received.stopping ? "yes" : "no"},
         {"source", source}}
    );
    this->links.connect(received.host);
}

/// Reads the rows of all members. They are needed to find peers without a link;
/// linked peers send their entries themselves.
void router::implementation::read_members() {
    const instant requested_at = boot_clock::now();
    note_request(this->members_view, requested_at);
    const std::string scope = "members/";
    this->table.read(
        scope,
        [this, scope, requested_at](const platform::read_result& read) {
            log_view_change(
                note_result(this->members_view, read.answered, requested_at),
                scope
            );
            if (read.answered) {
                this->merge_member_rows(read.rows);
            }
        }
    );
}

/// Tells from when to when changes of other daemons may be missing.
void router::implementation::log_view_change(
    view_change change, const std::string& scope
) {
    if (change == view_change::none) {
        return;
    }
    log::write(
        change == view_change::lost ? log::level::warning : log::level::info,
        log_prefix,
        change == view_change::lost ? "The view of the store is getting old."
                                    : "The view of the store is current again.",
        {{"scope", scope}}
    );
}

void router::implementation::merge_member_rows(
    const std::vector<platform::row>& rows
) {
    this->members_loaded = true;
    for (const platform::row& row : rows) {
        if (is_quarantine_row(row.key)) {
            this->restore_quarantine(row);
            continue;
        }
        try {
            const auto received = decode<directory::member_entry>(row.value);
            if (row.key != member_row(this->own_host)) {
                this->merge_entry(received, "table");
                continue;
            }
            this->entry_version = std::max(this->entry_version, row.version);
            this->learn_departures(received.known_departures, "table");
            // The run number must exceed those of earlier runs on this host,
            // or peers would ignore this run's entries as outdated.
            if (received.run > this->own_entry.run) {
                this->own_entry.run = next(received.run);
                this->lease_guardian.run = this->own_entry.run;
                this->needs_entry_write = true;
                this->publish_entry();
            }
        } catch (const decode_error& error) {
            log::write(
                log::level::error,
                log_prefix,
                "Ignoring a malformed member row.",
                {{"row", row.key.value}, {"reason", error.what()}}
            );
        }
    }
    this->change_state(this->permitted_state(), "departures known");
    this->write_entry();
}

duration router::implementation::regular_read_interval() const {
    const auto daemons =
        static_cast<duration::rep>(this->known_daemons.entries.size());
    return std::max(min_regular_read_interval, regular_read_gap * daemons);
}

/// Whether the map of a service that isn't this daemon's is to be read.
bool router::implementation::is_map_due(
    const cached_key_map& followed, instant now
) const {
    const bool is_known = followed.map.version != platform::row_version{};
    if (!is_known && this->settings.is_first_start &&
        now - this->started < first_map_timeout) {
        return false;
    }
    // Peers have sent the map.
    if (is_known && followed.view.requested_at == instant{}) {
        return now - this->started >= this->regular_read_interval();
    }
    return is_due(
        followed.view,
        is_known ? this->regular_read_interval() : missing_map_read_interval,
        is_known ? failed_read_interval : initial_read_interval,
        now
    );
}

/// Reads members and maps that haven't been read yet, and periodically all of
/// them, since updates sent over links can be lost.
void router::implementation::poll_table() {
    const instant now = boot_clock::now();
    const duration members_retry_interval =
        this->members_loaded ? failed_read_interval : initial_read_interval;
    const bool waits_for_own_row =
        this->settings.is_first_start &&
        this->entry_version == platform::row_version{};
    if (!waits_for_own_row && is_due(
                                  this->members_view,
                                  this->regular_read_interval(),
                                  members_retry_interval,
                                  now
                              )) {
        this->read_members();
    }
    if (!this->routes) {
        return;
    }
    for (const auto& [service, settings] : this->routes->config.services) {
        const bool is_own =
            this->local_keys != nullptr && service == this->settings.service;
        if (settings.keyed && !is_own &&
            this->is_map_due(this->key_maps[service], now)) {
            this->read_map(service);
        }
    }
}

} // namespace apricotstile::router

// The parts of a daemon and what they tell each other.

#include <apricotstile/router/router.hpp>

#include <apricotstile/core/codec.hpp>
#include <apricotstile/keys/guardian.hpp>
#include <apricotstile/log/logger.hpp>
#include <apricotstile/router/ingress.hpp>
#include <apricotstile/router/key_desk.hpp>
#include <apricotstile/router/local_instance.hpp>
#include <apricotstile/router/peer_links.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

constexpr duration upkeep_interval = 250ms;
/// A silent instance takes no requests after this many heartbeats' time
/// without a heartbeat or an answer.
constexpr int missed_heartbeats = 3;
/// Between the order to stop and the refusal of new connections.
constexpr duration notice_time = 2500ms;
/// Kept for closing connections at the end of the grace.
constexpr duration stop_margin = 500ms;
/// Requests stop going to a leaving instance this long before they must.
constexpr duration drain_margin = 400ms;
/// Between readings of members or of a map that aren't known yet.
constexpr duration first_reading_pause = 300ms;
/// Daemons that start together may miss each other in their first readings.
constexpr std::uint32_t early_readings = 3;
constexpr duration early_reading_pause = 1500ms;
constexpr duration late_reading_pause = 20s;
/// Between readings of a map that callers or peers show to be old.
constexpr duration map_reading_pause = 500ms;
constexpr duration doubted_map_pause = 1500ms;
constexpr auto log_prefix = "router";

std::string text_of(host_id host) {
    return to_string(peer_address(host));
}

/// Larger for later starts, but where the clock was set back, which the row in
/// the table makes up for. The random part keeps two starts apart.
incarnation new_run() {
    constexpr std::uint64_t random_part = 1024;
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch()
    );
    std::random_device random;
    return {
        static_cast<std::uint64_t>(millis.count()) * random_part +
        random() % random_part};
}

platform::row_key member_row(host_id host) {
    return {"members//" + std::to_string(host.value)};
}

std::string_view name_of(directory::instance_state state) {
    switch (state) {
    case directory::instance_state::absent:
        return "absent";
    case directory::instance_state::ready:
        return "ready";
    case directory::instance_state::draining:
        return "draining";
    }
    return "unknown";
}

} // namespace

struct router::parts {
    parts(const router_settings& settings, platform::shared_table& table);

    void publish_entry();
    void change_state(directory::instance_state state, const char* why);
    void write_entry();
    void take_entry(const directory::entry& told, const char* source);
    void read_members();
    void take_member_rows(const std::vector<platform::row>& rows);
    void read_map(const service_id& service);
    void take_map_row(const service_id& service, const platform::row& row);
    void take_map_change(const keys::map_change& change);
    void read_what_is_due();
    void doubt_map(const service_id& service);
    void upkeep();
    void check_instance();
    keys::takeover_view takeover_view();
    keys::guardian_list guardian_candidates();
    void take_control(
        host_id peer,
        const frame& message,
        const std::function<void(const frame&)>& reply
    );
    std::optional<host_id>
    owner_of(const service_id& service, keys::key_number key) const;
    std::function<void()> hand_over(
        host_id host,
        routed_request&& request,
        local_instance::response_handler done
    );
    void peer_request(
        peer_request_id from,
        routed_request&& request,
        const service_id& caller_service
    );
    void start_keys();
    bool notice_over() const;
    void check_stopped();
    ingress_surroundings surroundings();
    peer_link_events link_events();

    router_settings settings;
    platform::shared_table& table;
    net::timer_queue timers;
    host_id host;
    directory::entry own;
    directory::directory known;

    /// Maps of all keyed services.
    struct followed_map {
        keys::versioned_map known;
        /// When it was last asked for.
        instant asked_at;
    };

    std::map<service_id, followed_map> maps;
    instant members_asked_at;
    std::uint32_t member_readings{0};
    std::shared_ptr<const routing::route_table> routes;
    bool members_known{false};

    /// This daemon's promises to others.
    keys::guardian promises;
    std::unique_ptr<key_desk> keys_here;
    local_instance instance;
    peer_links links;
    ingress callers;

    std::uint64_t last_sequence{0};
    instant last_beat;
    /// Instances that said that they end; they are never used again.
    directory::instance_life departed;
    std::map<peer_request_id, serving::work_id> peer_work;

    platform::row_version entry_version;
    bool entry_dirty{false};
    bool entry_in_flight{false};
    instant entry_retry_at;

    std::vector<host_id> last_members;
    instant members_since;

    bool stopping{false};
    instant stop_at;
    std::function<void()> stopped;
};

ingress_surroundings router::parts::surroundings() {
    ingress_surroundings result;
    result.self = host_at(this->settings.peers);
    result.where = this->settings.where;
    result.local_service = this->settings.service;
    result.names = this->settings.names;
    result.instance = this->settings.instance;
    result.retries = this->settings.retries;
    result.nested_retries = this->settings.nested_retries;
    result.known = &this->known;
    result.owner_of = [this](const service_id& service, keys::key_number key) {
        return this->owner_of(service, key);
    };
    result.doubt_map = [this](const service_id& service) {
        this->doubt_map(service);
    };
    result.is_reachable = [this](host_id peer) {
        return peer == this->host || this->links.is_reachable(peer);
    };
    result.hand_over = [this](
                           host_id peer,
                           routed_request&& request,
                           ingress_surroundings::response_handler done
                       ) {
        return this->hand_over(peer, std::move(request), std::move(done));
    };
    return result;
}

peer_link_events router::parts::link_events() {
    peer_link_events result;
    result.on_request = [this](
                            peer_request_id from,
                            routed_request&& request,
                            const service_id& caller_service
                        ) {
        this->peer_request(from, std::move(request), caller_service);
    };
    result.on_cancel = [this](peer_request_id from) {
        const auto found = this->peer_work.find(from);
        if (found != this->peer_work.end()) {
            const serving::work_id work = found->second;
            this->peer_work.erase(found);
            this->instance.withdraw(work);
        }
    };
    result.on_entry = [this](host_id, const entry_frame& told) {
        this->callers.take_load(told.entry.host, told.load);
        this->take_entry(told.entry, "link");
    };
    result.on_control = [this](
                            host_id peer,
                            const frame& message,
                            const std::function<void(const frame&)>& reply
                        ) {
        this->take_control(peer, message, reply);
    };
    result.on_silent = [this](host_id peer) {
        this->callers.peer_silent(peer);
    };
    result.on_load = [this](host_id peer, const serving::reported_load& load) {
        this->callers.take_load(peer, load);
    };
    return result;
}

/// Requests to this daemon as a guardian, and replies to its own requests.
void router::parts::take_control(
    host_id peer,
    const frame& message,
    const std::function<void(const frame&)>& reply
) {
    const instant now = boot_clock::now();
    if (const auto* const asked = std::get_if<promise_request>(&message)) {
        const keys::promise_result result = keys::promise(
            this->promises, peer, asked->version, asked->guardian_run, now
        );
        reply(promise_reply{asked->sequence, asked->guardian_run, result});
    } else if (const auto* const end = std::get_if<deposition_request>(&message)) {
        const bool agreed = keys::agree_to_depose(
            this->promises, end->holder, end->version, now
        );
        reply(deposition_reply{end->holder, end->version, agreed});
    } else if (const auto* const changed = std::get_if<map_change_frame>(&message)) {
        this->take_map_change(changed->change);
    } else if (this->keys_here) {
        this->keys_here->take_reply(peer, message);
    }
}

router::parts::parts(
    const router_settings& settings, platform::shared_table& table
)
    : settings(settings), table(table), host(host_at(settings.peers)),
      instance(
          settings.instance,
          this->settings.names,
          timers,
          [this](keys::key_number key) {
              return this->keys_here && this->keys_here->may_dispatch(key);
          }
      ),
      links(settings.peers, timers, this->link_events()),
      callers(settings.callers, timers, this->surroundings()) {
    this->promises.started = boot_clock::now();
    this->own.host = this->host;
    this->own.where = settings.where;
    this->own.service = settings.service;
    this->own.run = new_run();
    this->promises.run = this->own.run;
    directory::apply(this->known, this->own);
    this->read_members();
    this->timers.every(upkeep_interval, [this] {
        this->upkeep();
    });
    this->publish_entry();
}

void router::parts::publish_entry() {
    ++this->own.change;
    directory::apply(this->known, this->own);
    this->links.publish({this->own, this->instance.load()});
    this->entry_dirty = true;
    this->write_entry();
}

/// Writes this daemon's row where it has changed; a lost answer is settled by
/// reading the row.
void router::parts::write_entry() {
    if (!this->entry_dirty || this->entry_in_flight || !this->members_known ||
        boot_clock::now() < this->entry_retry_at) {
        return;
    }
    this->entry_dirty = false;
    this->entry_in_flight = true;
    platform::transaction work;
    work.conditions.push_back({member_row(this->host), this->entry_version});
    work.mutations.push_back({member_row(this->host), encode(this->own)});
    this->table.submit(work, [this](const platform::commit_result& result) {
        this->entry_in_flight = false;
        if (result.status == platform::commit_status::committed) {
            this->entry_version =
                std::max(this->entry_version, result.versions.front());
            return;
        }
        this->entry_dirty = true;
        this->entry_retry_at = boot_clock::now() + upkeep_interval;
        if (result.status != platform::commit_status::unavailable) {
            // The row's version is read again with all others.
            this->table.read(
                "members/",
                [this](const platform::read_result& read) {
                    for (const platform::row& row : read.rows) {
                        if (row.key == member_row(this->host)) {
                            this->entry_version = row.version;
                        }
                    }
                }
            );
        }
    });
}

void router::parts::change_state(
    directory::instance_state state, const char* why
) {
    if (this->own.state == state) {
        return;
    }
    log::write(
        log::level::info,
        log_prefix,
        "Instance changed its state.",
        {{"instance", this->own.life.id},
         {"from", std::string{name_of(this->own.state)}},
         {"to", std::string{name_of(state)}},
         {"why", why}}
    );
    this->own.state = state;
    // A keyed instance that leaves serves its keys until they have moved.
    const bool moves_keys =
        state == directory::instance_state::draining && this->keys_here;
    this->instance.set_open(
        (state == directory::instance_state::ready || moves_keys) &&
        !this->notice_over()
    );
    if (moves_keys) {
        this->timers.after(
            this->settings.drain_timeout - drain_margin,
            [this, life = this->own.life] {
                if (this->own.life == life) {
                    this->instance.set_open(false);
                }
            }
        );
    }
    this->publish_entry();
}

void router::parts::take_entry(
    const directory::entry& told, const char* source
) {
    if (told.host == this->host || !directory::apply(this->known, told)) {
        return;
    }
    log::write(
        log::level::info,
        log_prefix,
        "Peer changed.",
        {{"peer", text_of(told.host)},
         {"service", told.service.value},
         {"instance", told.life.id},
         {"state", std::string{name_of(told.state)}},
         {"stopping", told.stopping ? "yes" : "no"},
         {"source", source}}
    );
    this->links.connect(told.host);
}

/// Reads all members. Peers tell of themselves over their links; the table is
/// for those that aren't linked yet.
void router::parts::read_members() {
    this->members_asked_at = boot_clock::now();
    this->table.read("members/", [this](const platform::read_result& read) {
        if (read.answered) {
            ++this->member_readings;
            this->take_member_rows(read.rows);
        }
    });
}

void router::parts::take_member_rows(const std::vector<platform::row>& rows) {
    this->members_known = true;
    for (const platform::row& row : rows) {
        try {
            const auto told = decode<directory::entry>(row.value);
            if (row.key != member_row(this->host)) {
                this->take_entry(told, "table");
                continue;
            }
            this->entry_version = std::max(this->entry_version, row.version);
            // An earlier run of this host must not look newer.
            if (told.run > this->own.run) {
                this->own.run = next(told.run);
                this->promises.run = this->own.run;
                this->publish_entry();
            }
        } catch (const decode_error& error) {
            log::write(
                log::level::error,
                log_prefix,
                "A member's row is malformed and left alone.",
                {{"row", row.key.value}, {"reason", error.what()}}
            );
        }
    }
    this->write_entry();
}

void router::parts::read_map(const service_id& service) {
    this->maps[service].asked_at = boot_clock::now();
    this->table.read(
        "keys/" + service.value,
        [this, service](const platform::read_result& read) {
            for (const platform::row& row : read.rows) {
                this->take_map_row(service, row);
            }
        }
    );
}

void router::parts::take_map_row(
    const service_id& service, const platform::row& row
) {
    keys::versioned_map& known = this->maps[service].known;
    if (row.version <= known.version) {
        return;
    }
    try {
        known.map = keys::decode_map(row.value);
        known.version = row.version;
    } catch (const decode_error& error) {
        log::write(
            log::level::error,
            log_prefix,
            "A map of keys is malformed and left alone.",
            {{"service", service.value}, {"reason", error.what()}}
        );
    }
}

void router::parts::take_map_change(const keys::map_change& change) {
    if (this->keys_here && change.service == this->settings.service) {
        this->keys_here->take_change(change);
        return;
    }
    followed_map& followed = this->maps[change.service];
    const keys::change_result result =
        keys::apply_change(followed.known, change);
    if (result == keys::change_result::gap &&
        boot_clock::now() - followed.asked_at > map_reading_pause) {
        this->read_map(change.service);
    }
}

/// Reads what wasn't read yet, and all of it now and then for what links lost.
void router::parts::read_what_is_due() {
    const instant now = boot_clock::now();
    duration members_pause = late_reading_pause;
    if (!this->members_known) {
        members_pause = first_reading_pause;
    } else if (this->member_readings < early_readings) {
        members_pause = early_reading_pause;
    }
    if (now - this->members_asked_at > members_pause) {
        this->read_members();
    }
    if (!this->routes) {
        return;
    }
    for (const auto& [service, settings] : this->routes->config.services) {
        const bool is_own =
            this->keys_here != nullptr && service == this->settings.service;
        if (!settings.keyed || is_own) {
            continue;
        }
        const followed_map& followed = this->maps[service];
        const bool is_known = followed.known.version != platform::row_version{};
        const duration pause =
            is_known ? late_reading_pause : first_reading_pause;
        if (now - followed.asked_at > pause) {
            this->read_map(service);
        }
    }
}

/// A request was refused by the owner that the map names: it may be old.
void router::parts::doubt_map(const service_id& service) {
    const bool is_own =
        this->keys_here != nullptr && service == this->settings.service;
    if (!is_own &&
        boot_clock::now() - this->maps[service].asked_at > doubted_map_pause) {
        this->read_map(service);
    }
}

std::optional<host_id>
router::parts::owner_of(const service_id& service, keys::key_number key) const {
    const keys::key_map* map = nullptr;
    if (this->keys_here && service == this->settings.service) {
        map = &this->keys_here->state().map;
    } else {
        const auto found = this->maps.find(service);
        map = found == this->maps.end() ? nullptr : &found->second.known.map;
    }
    if (map == nullptr) {
        return std::nullopt;
    }
    const keys::owned_range* const owner = keys::find_owner(*map, key);
    return owner == nullptr ? std::nullopt : std::optional{owner->owner};
}

keys::takeover_view router::parts::takeover_view() {
    keys::takeover_view view;
    std::vector<host_id> hosts;
    for (const directory::entry* const one :
         directory::ready_instances(this->known, this->settings.service)) {
        const bool usable =
            one->host == this->host ||
            (!one->stopping && this->links.is_reachable(one->host));
        if (!usable) {
            continue;
        }
        keys::member member{one->host, one->life};
        if (one->host == this->host) {
            member.pressure = this->instance.pressure();
            member.mean_service = this->instance.load().mean_service;
        } else if (const auto* const seen = this->callers.view_of(one->host)) {
            const serving::reported_load& load = seen->load;
            member.pressure = static_cast<double>(load.running + load.waiting) /
                              std::max<std::uint32_t>(load.slots, 1);
            member.mean_service = load.mean_service;
        }
        view.rank += one->host < this->host ? 1 : 0;
        view.members.push_back(member);
        hosts.push_back(one->host);
    }
    if (hosts != this->last_members) {
        this->last_members = hosts;
        this->members_since = boot_clock::now();
    }
    view.members_since = this->members_since;
    return view;
}

std::function<void()> router::parts::hand_over(
    host_id peer,
    routed_request&& request,
    local_instance::response_handler done
) {
    if (peer != this->host) {
        const stream_id stream =
            this->links.send(peer, request, std::move(done));
        return [this, peer, stream] {
            this->links.cancel(peer, stream);
        };
    }
    if (request.key && this->keys_here) {
        this->keys_here->count_request(*request.key);
    }
    // The service may differ from the one that a stale entry names.
    if (request.service != name_hash(this->settings.service.value)) {
        routed_response refused;
        refused.outcome = serving::attempt_outcome::refused_closed;
        done(std::move(refused));
        return nullptr;
    }
    const serving::work_id work = this->instance.submit(
        std::move(request), this->settings.service, std::move(done)
    );
    return [this, work] {
        this->instance.withdraw(work);
    };
}

void router::parts::peer_request(
    peer_request_id from,
    routed_request&& request,
    const service_id& caller_service
) {
    const auto respond = [this, from](routed_response&& response) {
        this->peer_work.erase(from);
        this->links.respond(
            from, {from.stream, std::move(response), this->instance.load()}
        );
    };
    if (request.service != name_hash(this->settings.service.value)) {
        routed_response refused;
        refused.outcome = serving::attempt_outcome::refused_closed;
        respond(std::move(refused));
        return;
    }
    if (request.key && this->keys_here) {
        this->keys_here->count_request(*request.key);
    }
    this->peer_work[from] = serving::work_id{};
    const serving::work_id work =
        this->instance.submit(std::move(request), caller_service, respond);
    const auto found = this->peer_work.find(from);
    if (found != this->peer_work.end()) {
        found->second = work;
    }
}

void router::parts::start_keys() {
    const auto service =
        this->routes->config.services.find(this->settings.service);
    const bool keyed =
        service != this->routes->config.services.end() && service->second.keyed;
    if (!keyed || this->keys_here) {
        return;
    }
    keys::keeper_policy policy;
    policy.longest_hold =
        std::min(policy.longest_hold, this->settings.longest_hold);
    keys::keeper keeper = keys::make_keeper(
        policy, this->host, this->own.run, this->settings.service
    );
    // An earlier run of this daemon may have granted keys right before it
    // ended.
    keeper.held_until = boot_clock::now() + keys::longest_promise(policy.lease);
    // A heartbeat may have come before the configuration.
    if (this->own.state == directory::instance_state::ready) {
        keeper.life = this->own.life;
    }
    this->keys_here = std::make_unique<key_desk>(
        std::move(keeper),
        this->table,
        this->timers,
        key_desk::surroundings{
            [this] {
                return this->takeover_view();
            },
            [this] {
                return this->instance.pressure();
            },
            [this] {
                return this->guardian_candidates();
            },
            [this](host_id peer) {
                const auto found = this->known.entries.find(peer);
                return found != this->known.entries.end() &&
                       found->second.service == this->own.service &&
                       this->links.is_reachable(peer);
            },
            [this](host_id peer, const frame& message) {
                this->links.tell(peer, message);
            },
            [this](const frame& message) {
                this->links.tell_all(message);
            },
            [this](host_id holder, platform::row_version version) {
                return keys::agree_to_depose(
                    this->promises, holder, version, boot_clock::now()
                );
            }}
    );
}

/// Other daemons that may promise this one's lease, the best first. Those of
/// other services come first, since the hosts of one service are often replaced
/// together, and those of this region before the rest.
keys::guardian_list router::parts::guardian_candidates() {
    constexpr int same_service = 2;
    constexpr int other_region = 1;
    std::vector<std::pair<int, keys::guardian_id>> ranked;
    for (const auto& [peer, entry] : this->known.entries) {
        if (peer == this->host || entry.stopping ||
            !this->links.is_reachable(peer)) {
            continue;
        }
        const int rank =
            (entry.service == this->own.service ? same_service : 0) +
            (entry.where.region == this->own.where.region ? 0 : other_region);
        ranked.emplace_back(rank, keys::guardian_id{peer, entry.run});
    }
    std::sort(ranked.begin(), ranked.end());
    keys::guardian_list result;
    for (const auto& [rank, peer] : ranked) {
        result.push_back(peer);
    }
    return result;
}

void router::parts::upkeep() {
    this->read_what_is_due();
    this->write_entry();
    this->check_instance();
    for (const auto& [peer, entry] : this->known.entries) {
        if (peer != this->host) {
            this->links.connect(peer);
        }
    }
    this->check_stopped();
}

/// A silent instance takes no requests until it is heard of again.
void router::parts::check_instance() {
    if (this->own.state != directory::instance_state::ready) {
        return;
    }
    const instant heard =
        std::max(this->last_beat, this->instance.last_answer());
    if (boot_clock::now() - heard >
        this->settings.heartbeat_interval * missed_heartbeats) {
        this->change_state(directory::instance_state::absent, "silent");
        if (this->keys_here) {
            this->keys_here->instance_left();
        }
    }
}

/// Whether callers and peers had time to turn elsewhere after the order to
/// stop.
bool router::parts::notice_over() const {
    return this->stopping && boot_clock::now() > this->stop_at -
                                                     this->settings.stop_grace +
                                                     stop_margin + notice_time;
}

void router::parts::check_stopped() {
    if (!this->stopping || !this->stopped) {
        return;
    }
    const instant now = boot_clock::now();
    if (this->notice_over()) {
        this->callers.stop_accepting();
        // What runs ends before the process does; what comes goes elsewhere.
        this->instance.set_open(false);
    }
    const bool idle = this->callers.waiting() == 0 &&
                      this->instance.unfinished() == 0 &&
                      this->callers.open_connections() == 0;
    if ((this->notice_over() && idle) || now >= this->stop_at) {
        const auto handler = std::move(this->stopped);
        this->stopped = nullptr;
        handler();
    }
}

router::router(const router_settings& settings, platform::shared_table& table)
    : self(std::make_unique<parts>(settings, table)) {}

router::~router() = default;

void router::take_config(routing::routing_config config) {
    parts& all = *this->self;
    if (all.routes && config.version <= all.routes->config.version) {
        return;
    }
    log::write(
        log::level::info,
        log_prefix,
        "Configuration in force.",
        {{"version", std::to_string(config.version.value)},
         {"routes", std::to_string(config.routes.size())},
         {"services", std::to_string(config.services.size())}}
    );
    all.routes = std::make_shared<const routing::route_table>(
        routing::make_route_table(std::move(config))
    );
    all.callers.set_config(all.routes);
    const auto service = all.routes->config.services.find(all.settings.service);
    if (service != all.routes->config.services.end()) {
        all.instance.set_max_connections(service->second.max_connections);
    }
    all.start_keys();
}

void router::set_config_current(bool current) {
    this->self->callers.set_config_current(current);
}

heartbeat_verdict router::take_heartbeat(
    const keys::heartbeat& beat, keys::heartbeat_answer& answer
) {
    parts& all = *this->self;
    if (beat.service != all.settings.service) {
        return heartbeat_verdict::foreign;
    }
    const directory::instance_life& present = all.own.life;
    const bool same_life = beat.life == present;
    if ((same_life && beat.sequence <= all.last_sequence) ||
        (!same_life && beat.life.born_ms <= present.born_ms) ||
        beat.life == all.departed) {
        return heartbeat_verdict::late;
    }
    all.last_sequence = beat.sequence;
    all.last_beat = boot_clock::now();
    all.instance.set_instance(beat.life, beat.slots);
    if (!same_life || all.own.slots != beat.slots) {
        log::write(
            log::level::info,
            log_prefix,
            "Instance announced itself.",
            {{"instance", beat.life.id},
             {"born_ms", std::to_string(beat.life.born_ms)},
             {"slots", std::to_string(beat.slots)}}
        );
        all.own.life = beat.life;
        all.own.slots = beat.slots;
        if (all.own.state == beat.state) {
            all.publish_entry();
        }
    }
    if (all.keys_here) {
        if (beat.state == directory::instance_state::draining) {
            all.keys_here->start_departure();
        }
        answer = all.keys_here->take_heartbeat(beat);
    }
    all.change_state(beat.state, "heartbeat");
    return heartbeat_verdict::taken;
}

heartbeat_verdict
router::take_departure(const std::string& instance, std::int64_t born_ms) {
    parts& all = *this->self;
    const directory::instance_life& present = all.own.life;
    if (instance != present.id) {
        return heartbeat_verdict::foreign;
    }
    if (born_ms != 0 && born_ms < present.born_ms) {
        return heartbeat_verdict::late;
    }
    all.departed = present;
    all.change_state(directory::instance_state::absent, "deregistered");
    all.instance.set_open(false);
    if (all.keys_here) {
        all.keys_here->instance_left();
    }
    return heartbeat_verdict::taken;
}

bool router::is_ready() const {
    return this->self->routes && this->self->members_known &&
           !this->self->stopping;
}

void router::stop(std::function<void()> stopped) {
    parts& all = *this->self;
    if (all.stopping) {
        return;
    }
    log::write(log::level::info, log_prefix, "Stopping.");
    all.stopping = true;
    all.stop_at = boot_clock::now() + all.settings.stop_grace - stop_margin;
    all.stopped = std::move(stopped);
    all.own.stopping = true;
    all.callers.start_closing();
    if (all.keys_here) {
        all.keys_here->start_departure();
    }
    all.publish_entry();
}

nlohmann::json router::describe() const {
    const parts& all = *this->self;
    const ingress_counters& counted = all.callers.counters();
    const serving::reported_load load = all.instance.load();
    return {
        {"ingress",
         {{"requests", counted.requests},
          {"answered", counted.answered},
          {"refused", counted.refused},
          {"failed", counted.failed},
          {"no_route", counted.no_route},
          {"left", counted.left},
          {"repeats", counted.repeats},
          {"waiting", all.callers.waiting()},
          {"connections", all.callers.open_connections()}}},
        {"instance",
         {{"slots", load.slots},
          {"running", load.running},
          {"waiting", load.waiting},
          {"connections", all.instance.open_connections()}}},
        {"links", {{"open", all.links.open_links()}}},
        {"directory", {{"members", all.known.entries.size()}}},
        {"config",
         {{"version", all.routes ? all.routes->config.version.value : 0}}}};
}

} // namespace apricotstile::router

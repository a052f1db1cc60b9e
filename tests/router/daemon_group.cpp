// Starts the daemons, and sends them heartbeats and requests.

#include <tests/router/daemon_group.hpp>

#include <tests/http/event_loop.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <QHostAddress>

#include <algorithm>
#include <optional>
#include <utility>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;

constexpr duration heartbeat_interval = 40ms;
constexpr duration poll_interval = 300ms;

routing::routing_config config_for(
    const std::vector<std::string>& services,
    const daemon_group_options& options
) {
    const std::vector<std::string>& keyed = options.keyed;
    routing::routing_config config;
    config.version = {1};
    for (const std::string& service : services) {
        if (config.services.contains({service})) {
            continue;
        }
        routing::route route;
        route.name = service;
        route.host = "a.example";
        route.prefix = "/" + service + "/";
        route.idempotent = true;
        route.timeout = 20s;
        route.target_latency = 1s;
        route.max_instances = 1;
        route.services = {{{service}, 1}};
        config.routes.push_back(route);
        config.services[{service}].max_connections = 64;
        config.services[{service}].keyed =
            std::find(keyed.begin(), keyed.end(), service) != keyed.end();
        config.services[{service}].cold_per_second = options.cold_per_second;
        config.services[{service}].cold_start_time = 60s;
    }
    return config;
}

} // namespace

loopback_table::loopback_table(fake_table& rows, net::timer_queue& timers)
    : rows(rows), timers(timers) {}

loopback_table::~loopback_table() = default;

void loopback_table::submit(
    const platform::transaction& work, commit_handler done
) {
    this->answer([this, work, done](bool of_this_era) {
        done(
            of_this_era
                ? commit(this->rows, work)
                : platform::
                      commit_result{platform::commit_status::unknown, {}, {}}
        );
    });
}

void loopback_table::read(const std::string& scope, read_handler done) {
    this->answer([this, scope, done](bool of_this_era) {
        done(
            of_this_era ? read_prefix(this->rows, scope)
                        : platform::read_result{}
        );
    });
}

/// Calls `done` from the event loop, with whether the table is still in the era
/// in which the call was made.
void loopback_table::answer(std::function<void(bool)> done) {
    this->timers.after(
        0ms,
        [this,
         done = std::move(done),
         prepared_in = this->era,
         guard = std::weak_ptr<bool>(this->alive)] {
            if (!guard.expired()) {
                done(this->note_era(prepared_in));
            }
        }
    );
}

void loopback_table::poll(std::function<void()> done) {
    this->answer([this, done = std::move(done)](bool) {
        if (!this->rows.down) {
            done();
        }
    });
}

void loopback_table::follow(const std::string&, change_handler) {}

void loopback_table::set_era_handler(era_handler handler) {
    this->on_era = std::move(handler);
}

/// Learns the table's era from a response. Returns whether the call is of it.
bool loopback_table::note_era(platform::table_era prepared_in) {
    if (this->rows.down) {
        return true;
    }
    const bool is_initial = !std::exchange(this->era_known, true);
    if (this->rows.era != this->era) {
        this->era = this->rows.era;
        this->timers.after(
            0ms,
            [this, is_initial, guard = std::weak_ptr<bool>(this->alive)] {
                if (!guard.expired() && this->on_era) {
                    this->on_era({this->era, is_initial});
                }
            }
        );
    }
    return prepared_in == this->era;
}

struct daemon_group::host {
    router::router_settings settings;
    routing::routing_config config;
    std::unique_ptr<fake_upstream> upstream;
    std::unique_ptr<loopback_table> table;
    std::unique_ptr<router::router> daemon;
    std::uint64_t sequence{0};
    bool sends_heartbeats{true};
    directory::instance_state state{directory::instance_state::ready};
    duration cold_time{0};
    /// What the last answer to a heartbeat granted.
    std::vector<keys::held_range> holds;
    /// Released since the last answer.
    std::vector<keys::released_range> released;
    /// The run whose heartbeat was accepted last.
    directory::instance_run accepted;
    bool has_stopped{false};
    /// The daemon has all evacuations up to this version; nothing before its
    /// first read.
    std::optional<platform::row_version> delivered;
};

daemon_group::daemon_group(
    const std::vector<std::string>& services,
    const daemon_group_options& options
) {
    need_application();
    for (const std::string& service : services) {
        auto added = std::make_unique<host>();
        added->upstream = std::make_unique<fake_upstream>(
            "i" + std::to_string(this->hosts.size())
        );
        const std::size_t index = this->hosts.size();
        const std::string region =
            options.regions.empty() ? "region" : options.regions.at(index);
        const std::string domain = index < options.domains.size()
                                       ? options.domains[index]
                                       : region + "-domain";
        added->settings.where = {{region}, {domain}};
        added->settings.evacuation_timeout = options.evacuation_timeout;
        added->settings.caller_address = unused_address();
        added->settings.peer_address = unused_address();
        added->settings.instance_address = added->upstream->where();
        added->settings.service = {service};
        added->settings.heartbeat_interval = 5s;
        added->settings.drain_timeout = options.drain_timeout;
        added->settings.link_bytes_per_second = options.link_bytes_per_second;
        added->settings.names.request_id = "Request-Id";
        added->settings.names.remaining_deadline = "Time-Left";
        added->settings.names.caller_service = "Caller-Service";
        added->settings.names.key = "Key";
        added->settings.names.signature = "Signature";
        added->settings.names.not_executed = "Not-Executed";
        added->settings.names.expected_instance = "Expected-Instance";
        added->settings.names.server_limit = "Server-Limit";
        added->settings.names.server_leaving = "Server-Leaving";
        added->settings.names.cold_remaining = "Cold-Remaining";
        if (options.cold_per_second > 0) {
            added->settings.cold_bounds = serving::cold_bounds{1, 4};
        }
        added->config = config_for(services, options);
        this->hosts.push_back(std::move(added));
    }
    for (const auto& one : this->hosts) {
        this->start(*one);
    }
    this->timers.every(heartbeat_interval, [this] {
        this->send_heartbeats();
    });
    this->timers.every(poll_interval, [this] {
        this->poll_tables();
    });
    this->wait_until_ready();
}

daemon_group::~daemon_group() {
    for (const auto& one : this->hosts) {
        one->daemon.reset();
    }
}

void daemon_group::start(host& one) {
    one.table = std::make_unique<loopback_table>(this->rows, this->timers);
    one.daemon = std::make_unique<router::router>(one.settings, *one.table);
    one.daemon->set_config_followed(true);
    one.daemon->apply_config(one.config);
    one.accepted = {};
    one.delivered.reset();
    one.table->poll([this, &one] {
        this->deliver_evacuations(one);
    });
}

/// Holds what is granted, and releases the rest.
void daemon_group::take_grants(
    host& one, const keys::heartbeat_answer& answer
) {
    const std::vector<keys::held_range> before = std::move(one.holds);
    one.holds.clear();
    for (const keys::key_grant& grant : answer.keys) {
        one.holds.push_back({grant.keys, grant.fence});
    }
    for (const keys::held_range& earlier : before) {
        const bool is_kept = std::any_of(
            one.holds.begin(),
            one.holds.end(),
            [&](const keys::held_range& held) {
                return keys::overlap(held.keys, earlier.keys);
            }
        );
        if (!is_kept) {
            one.released.push_back({earlier.keys, "handover"});
        }
    }
}

bool daemon_group::send_heartbeat(host& one) {
    keys::heartbeat heartbeat;
    heartbeat.service = one.settings.service;
    heartbeat.instance = one.upstream->run();
    heartbeat.sequence = ++one.sequence;
    heartbeat.state = one.state;
    heartbeat.slots = 4;
    heartbeat.cold_remaining = one.cold_time;
    heartbeat.reports_keys = true;
    heartbeat.holds = one.holds;
    heartbeat.released = one.released;
    keys::heartbeat_answer answer;
    if (one.daemon->handle_heartbeat(heartbeat, answer) !=
        router::heartbeat_result::accepted) {
        return false;
    }
    one.accepted = heartbeat.instance;
    one.released.clear();
    if (answer.grants) {
        take_grants(one, answer);
    }
    return true;
}

bool daemon_group::send_heartbeat_of_run(
    std::size_t index, const directory::instance_run& run
) {
    host& one = *this->hosts.at(index);
    keys::heartbeat heartbeat;
    heartbeat.service = one.settings.service;
    heartbeat.instance = run;
    heartbeat.sequence = 1;
    heartbeat.state = directory::instance_state::ready;
    heartbeat.slots = 4;
    heartbeat.reports_keys = true;
    keys::heartbeat_answer answer;
    return one.daemon->handle_heartbeat(heartbeat, answer) ==
           router::heartbeat_result::accepted;
}

bool daemon_group::send_heartbeat_without_keys(std::size_t index) {
    host& one = *this->hosts.at(index);
    keys::heartbeat heartbeat;
    heartbeat.service = one.settings.service;
    heartbeat.instance = one.upstream->run();
    heartbeat.sequence = ++one.sequence;
    heartbeat.slots = 4;
    keys::heartbeat_answer answer;
    return one.daemon->handle_heartbeat(heartbeat, answer) ==
           router::heartbeat_result::accepted;
}

bool daemon_group::send_deregistration(
    std::size_t index, const directory::deregistration& sent
) {
    return this->hosts.at(index)->daemon->handle_deregistration(sent) ==
           router::heartbeat_result::accepted;
}

void daemon_group::send_heartbeats() {
    for (const auto& one : this->hosts) {
        if (one->daemon && one->sends_heartbeats && one->upstream->is_up()) {
            static_cast<void>(this->send_heartbeat(*one));
        }
    }
}

/// Calls for changes of the configuration, by the daemons that read it.
void daemon_group::poll_tables() {
    for (const auto& one : this->hosts) {
        if (!one->daemon ||
            (one->delivered && !one->daemon->reader_position().reads)) {
            continue;
        }
        one->table->poll([this, polling = one.get()] {
            if (polling->daemon) {
                this->deliver_evacuations(*polling);
                polling->daemon->note_config_confirmed();
            }
        });
    }
}

/// Passes on all rows at first, as a daemon reads them at its start, and then
/// their changes.
void daemon_group::deliver_evacuations(host& one) {
    const platform::row_version newest{this->evacuation_changes.size() + 1};
    if (!one.daemon || one.delivered == newest) {
        return;
    }
    routing::evacuation_changes update{!one.delivered, newest, {}};
    for (const routing::evacuation_change& change : this->evacuation_changes) {
        if (!one.delivered && change.withdrawn) {
            std::erase_if(update.changes, [&](const auto& earlier) {
                return earlier.domain == change.domain;
            });
        } else if (!one.delivered || change.version > *one.delivered) {
            update.changes.push_back(change);
        }
    }
    one.delivered = newest;
    one.daemon->apply_evacuations(update);
}

void daemon_group::evacuate(const std::string& domain) {
    const platform::row_version version{this->evacuation_changes.size() + 2};
    this->evacuation_changes.push_back({{domain}, version, false});
}

void daemon_group::end_evacuation(const std::string& domain) {
    const platform::row_version version{this->evacuation_changes.size() + 2};
    this->evacuation_changes.push_back({{domain}, version, true});
}

void daemon_group::send_heartbeats_of(std::size_t index, bool sends) {
    this->hosts.at(index)->sends_heartbeats = sends;
}

void daemon_group::set_state(
    std::size_t index, directory::instance_state state
) {
    this->hosts.at(index)->state = state;
}

void daemon_group::set_cold_time(std::size_t index, duration remaining) {
    this->hosts.at(index)->cold_time = remaining;
}

void daemon_group::deregister(std::size_t index) {
    REQUIRE(this->try_to_deregister(index));
}

bool daemon_group::try_to_deregister(std::size_t index) {
    host& one = *this->hosts.at(index);
    static_cast<void>(one.daemon->handle_deregistration(
        {one.upstream->run().id, std::nullopt}
    ));
    return this->is_acknowledged(one);
}

void daemon_group::drain(std::size_t index) {
    host& one = *this->hosts.at(index);
    one.state = directory::instance_state::draining;
    REQUIRE(this->send_heartbeat(one));
    REQUIRE(this->is_acknowledged(one));
}

bool daemon_group::is_acknowledged(host& one) {
    std::optional<bool> result;
    one.daemon->when_departures_recorded([&](bool recorded) {
        result = recorded;
    });
    REQUIRE(wait_until([&] {
        return result.has_value();
    }));
    return *result;
}

void daemon_group::restore_older_table() {
    begin_new_era(this->rows);
}

void daemon_group::set_table_down(bool down) {
    this->rows.down = down;
}

void daemon_group::wait_until_ready() {
    REQUIRE(wait_until([&] {
        return std::all_of(
            this->hosts.begin(),
            this->hosts.end(),
            [&](const std::unique_ptr<host>& one) {
                const nlohmann::json state = one->daemon->describe();
                const bool sends_heartbeats =
                    one->sends_heartbeats && one->upstream->is_up();
                return one->daemon->is_ready() &&
                       (!sends_heartbeats ||
                        one->accepted == one->upstream->run()) &&
                       state["links"]["open"] == this->hosts.size() - 1;
            }
        );
    }));
}

void daemon_group::stop_daemon(std::size_t index) {
    this->hosts.at(index)->daemon.reset();
}

void daemon_group::begin_stop(std::size_t index) {
    host& one = *this->hosts.at(index);
    one.daemon->stop([&one] {
        one.has_stopped = true;
    });
}

bool daemon_group::has_stopped(std::size_t index) const {
    return this->hosts.at(index)->has_stopped;
}

bool daemon_group::accepts_callers(std::size_t index) const {
    const address& where = this->hosts.at(index)->settings.caller_address;
    QTcpSocket probe;
    probe.connectToHost(QHostAddress{where.ip}, where.port);
    constexpr int max_wait_ms = 1000;
    return probe.waitForConnected(max_wait_ms);
}

void daemon_group::start_daemon(std::size_t index) {
    this->start(*this->hosts.at(index));
}

void daemon_group::restart_daemon(std::size_t index) {
    host& one = *this->hosts.at(index);
    one.daemon.reset();
    this->start(one);
    this->wait_until_ready();
}

void daemon_group::restart_all_daemons() {
    for (const auto& one : this->hosts) {
        one->daemon.reset();
    }
    for (const auto& one : this->hosts) {
        this->start(*one);
    }
    this->wait_until_ready();
}

void daemon_group::move_route(
    std::uint64_t version, const std::string& from, const std::string& to
) {
    for (const auto& one : this->hosts) {
        one->config.version = {version};
        for (routing::route& route : one->config.routes) {
            if (route.name == from) {
                route.services = {{{to}, 1}};
            }
        }
        one->daemon->apply_config(one->config);
    }
}

void daemon_group::restart_crashed_upstreams() {
    for (const auto& one : this->hosts) {
        if (!one->upstream->is_up()) {
            one->upstream->restart();
        }
    }
    this->wait_until_ready();
}

void daemon_group::apply_config(std::size_t index, std::uint64_t version) {
    host& one = *this->hosts.at(index);
    routing::routing_config config = one.config;
    config.version = {version};
    one.daemon->apply_config(std::move(config));
}

void daemon_group::restrict_route(
    std::size_t index,
    std::uint64_t version,
    const std::string& service,
    const std::vector<region_id>& regions
) {
    host& one = *this->hosts.at(index);
    routing::routing_config config = one.config;
    config.version = {version};
    for (routing::route& route : config.routes) {
        if (route.name == service) {
            route.allowed_regions = regions;
        }
    }
    one.daemon->apply_config(std::move(config));
}

std::unique_ptr<QTcpSocket>
daemon_group::begin_request(std::size_t index, const std::string& target) {
    auto caller = std::make_unique<QTcpSocket>();
    caller->connectToHost(
        QHostAddress{this->hosts.at(index)->settings.caller_address.ip},
        this->hosts.at(index)->settings.caller_address.port
    );
    const std::string head = "GET " + target +
                             " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " +
                             std::to_string(++this->last_request) +
                             "\r\nTime-Left: 5000\r\nKey: 1\r\n\r\n";
    caller->write(head.c_str());
    return caller;
}

int daemon_group::request(std::size_t index, const std::string& target) {
    const std::unique_ptr<QTcpSocket> caller =
        this->begin_request(index, target);
    REQUIRE(wait_until([&] {
        return caller->canReadLine();
    }));
    // "HTTP/1.1 200 OK"
    return caller->readLine().split(' ').at(1).toInt();
}

void daemon_group::send_to_all(const std::string& target, int rounds) {
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            static_cast<void>(this->request(index, target));
            this->restart_crashed_upstreams();
        }
    }
}

fake_upstream& daemon_group::upstream(std::size_t index) {
    return *this->hosts.at(index)->upstream;
}

const address& daemon_group::caller_address(std::size_t index) const {
    return this->hosts.at(index)->settings.caller_address;
}

const address& daemon_group::peer_address(std::size_t index) const {
    return this->hosts.at(index)->settings.peer_address;
}

nlohmann::json daemon_group::describe(std::size_t index) const {
    return this->hosts.at(index)->daemon->describe();
}

duration daemon_group::drain_timeout() const {
    return this->hosts.front()->settings.drain_timeout;
}

std::size_t daemon_group::runs_of(const std::string& target) const {
    std::size_t count = 0;
    for (const auto& one : this->hosts) {
        const std::vector<std::string>& seen = one->upstream->requests();
        count += static_cast<std::size_t>(
            std::count(seen.begin(), seen.end(), target)
        );
    }
    return count;
}

} // namespace apricotstile::tests

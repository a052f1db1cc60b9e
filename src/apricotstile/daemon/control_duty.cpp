// A first control duty: members and assignments are read from the table at an
// interval and a lease lasts as long as those reads succeed.

#include <apricotstile/daemon/control_duty.hpp>

#include <apricotstile/log/logger.hpp>

#include <algorithm>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;
using member::member_record;
using member::member_state;

constexpr std::size_t inbox_capacity = 16384;
constexpr auto tick_interval = 300ms;
constexpr duration lease_length = 1500ms;
/// Lets the first members join before slices are divided among them.
constexpr duration planning_delay = 2s;
constexpr auto log_prefix = "control";
constexpr std::string_view member_prefix = "member/";
constexpr std::string_view map_prefix = "map/";

bool is_candidate(const member_record& one, const service_id& service) {
    return one.state == member_state::active &&
           std::any_of(
               one.services.begin(),
               one.services.end(),
               [&](const auto& served) {
                   return served.service == service;
               }
           );
}

} // namespace

control_duty::control_duty(const control_wiring& parts)
    : duty("control"), messages(inbox_capacity), wiring(parts) {
    const settings::listen_addresses& listen = parts.settings.listen;
    this->own.self.host = host_at(listen.peers);
    this->own.where = parts.settings.host;
    this->own.callers_address = to_string(listen.callers);
    this->own.peers_address = to_string(listen.peers);
    this->own.operators_address = to_string(listen.operators);
}

control_duty::~control_duty() = default;

void control_duty::set_up() {
    this->started = boot_clock::now();
    this->publish();
    this->messages.open(this->context(), [this](control_message&& message) {
        this->take(std::move(message));
    });
    this->timer = std::make_unique<QTimer>();
    this->timer->setInterval(tick_interval);
    QObject::connect(
        this->timer.get(),
        &QTimer::timeout,
        this->context(),
        [this] {
            this->tick();
        }
    );
    this->timer->start();
    this->tick();
}

void control_duty::tear_down() {
    this->timer.reset();
}

void control_duty::read(const std::string& prefix, read_handler handler) {
    this->last_operation = next(this->last_operation);
    this->reads.emplace(this->last_operation, std::move(handler));
    this->wiring.store.push(platform::read_rows{this->last_operation, prefix});
}

void control_duty::commit(platform::transaction work, commit_handler handler) {
    this->last_operation = next(this->last_operation);
    this->commits.emplace(this->last_operation, std::move(handler));
    this->wiring.store.push(platform::submit_transaction{
        this->last_operation, std::move(work)});
}

void control_duty::take(control_message&& message) {
    if (auto* served = std::get_if<served_services>(&message)) {
        this->services = std::move(served->services);
        if (this->joined) {
            this->write_own_record();
        }
        return;
    }
    auto* const result = std::get_if<store_result>(&message);
    if (result == nullptr) {
        return;
    }
    if (auto* rows = std::get_if<platform::rows_read>(result)) {
        const auto node = this->reads.extract(rows->id);
        if (!node.empty()) {
            node.mapped()(rows->result);
        }
    } else if (auto* done = std::get_if<platform::transaction_done>(result)) {
        const auto node = this->commits.extract(done->id);
        if (!node.empty()) {
            node.mapped()(done->result);
        }
    }
}

void control_duty::tick() {
    const instant sent = boot_clock::now();
    this->read(
        std::string{member_prefix},
        [this, sent](const platform::read_result& result) {
            if (!result.answered) {
                return;
            }
            this->take_members(result.rows);
            if (this->joined) {
                this->wiring.state.lease_valid_until = sent + lease_length;
            } else {
                this->write_own_record();
            }
        }
    );
    this->read(
        std::string{map_prefix},
        [this](const platform::read_result& result) {
            if (result.answered) {
                this->take_map(result.rows);
                this->plan();
            }
        }
    );
}

void control_duty::take_members(const std::vector<platform::row>& rows) {
    this->members.clear();
    for (const platform::row& one : rows) {
        const auto record = decode<member_record>(one.value);
        if (record.self.host == this->own.self.host) {
            this->own_version = one.version;
            if (!this->joined) {
                this->own.self.incarnation = next(record.self.incarnation);
            }
        }
        this->members.emplace(record.self.host, record);
    }
    this->publish();
}

void control_duty::write_own_record() {
    if (this->own.self.incarnation == incarnation{}) {
        this->own.self.incarnation = incarnation{1};
    }
    this->own.services.clear();
    for (const announced_service& one : this->services) {
        this->own.services.push_back(one.service);
    }
    const platform::row_key key{member::member_row_key(this->own.self.host)};
    platform::transaction work;
    work.conditions.push_back({key, this->own_version});
    work.mutations.push_back({key, encode(this->own)});
    this->commit(
        std::move(work),
        [this](const platform::commit_result& result) {
            if (result.status != platform::commit_status::committed) {
                return;
            }
            this->own_version = result.versions.front();
            if (!this->joined) {
                log::write(log::level::info, log_prefix, "Joined.");
            }
            this->joined = true;
        }
    );
}

void control_duty::take_map(const std::vector<platform::row>& rows) {
    assignment::assignment_map fresh;
    for (const platform::row& one : rows) {
        const service_id service{one.key.value.substr(map_prefix.size())};
        fresh.services[service] =
            decode<assignment::service_assignment>(one.value);
        fresh.version.value += one.version.value;
        this->map_rows[one.key.value] = one.version;
    }
    if (fresh.version > this->map.version) {
        this->map = std::move(fresh);
        this->publish();
    }
}

void control_duty::plan() {
    if (boot_clock::now() - this->started < planning_delay) {
        return;
    }
    for (const announced_service& one : this->services) {
        const service_id service = one.service.service;
        if (!one.keyed || this->map.services.contains(service)) {
            continue;
        }
        std::vector<member::member_ref> candidates;
        for (const auto& [host, record] : this->members) {
            if (is_candidate(record, service)) {
                candidates.push_back(record.self);
            }
        }
        if (candidates.empty()) {
            continue;
        }
        assignment::service_assignment first;
        first.slices.resize(one.slice_count);
        for (std::size_t index = 0; index < first.slices.size(); ++index) {
            first.slices[index].owner = candidates[index % candidates.size()];
            first.slices[index].token = fencing_token{1};
        }
        const platform::row_key key{std::string{map_prefix} + service.value};
        platform::transaction work;
        work.conditions.push_back({key, this->map_rows[key.value]});
        work.mutations.push_back({key, encode(first)});
        this->commit(std::move(work), [](const platform::commit_result&) {});
    }
}

void control_duty::publish() {
    auto view = std::make_shared<routing_view>();
    view->self = this->own.self;
    view->map = std::make_shared<const assignment::assignment_map>(this->map);
    view->members = this->members;
    this->wiring.state.view.store(std::move(view));
}

nlohmann::json control_duty::description() const {
    return {
        {"joined", this->joined},
        {"incarnation", this->own.self.incarnation.value},
        {"members", this->members.size()},
        {"map_version", this->map.version.value},
        {"reads_in_flight", this->reads.size()},
        {"commits_in_flight", this->commits.size()},
        {"inbox", this->messages.size()},
        {"inbox_refused", this->messages.refused_count()}};
}

} // namespace apricotstile::daemon

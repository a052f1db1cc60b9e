// The control duty's thread: sockets and timers around the controller.

#include <apricotstile/daemon/control_duty.hpp>

#include <apricotstile/lease/description.hpp>
#include <apricotstile/link/authentication.hpp>
#include <apricotstile/log/logger.hpp>

#include <QHostAddress>
#include <QNetworkDatagram>

#include <fmt/format.h>

#include <stdexcept>

namespace apricotstile::daemon {

namespace {

constexpr std::size_t inbox_capacity = 16384;
/// Larger messages go over TCP, so that no datagram is fragmented.
constexpr std::size_t max_datagram_payload = 1200;
constexpr auto log_prefix = "control";

control::controller_settings
settings_of(const settings::daemon_settings& settings) {
    const settings::listen_addresses& listen = settings.listen;
    control::controller_settings result;
    result.desired.self.host = host_at(listen.peers);
    result.desired.where = settings.host;
    result.desired.callers_address = to_string(listen.callers);
    result.desired.peers_address = to_string(listen.peers);
    result.desired.operators_address = to_string(listen.operators);
    for (const address& seed : settings.seed_peers) {
        result.seeds.push_back(host_at(seed));
    }
    result.weights.imbalance = settings.weights.imbalance;
    result.weights.churn = settings.weights.churn;
    result.weights.unavailable_time = settings.weights.unavailable_time;
    return result;
}

std::string name_of(const member::member_ref& ref) {
    return fmt::format(
        "{}#{}", to_string(peer_address(ref.host)), ref.incarnation.value
    );
}

} // namespace

control_duty::control_duty(const control_wiring& parts)
    : duty("control"), messages(inbox_capacity), wiring(parts),
      controller(control::make_controller(settings_of(parts.settings))),
      plan_controller(
          control::make_plan_controller(host_at(parts.settings.listen.peers))
      ) {
    std::random_device device;
    this->random.seed((static_cast<std::uint64_t>(device()) << 32U) | device());
}

control_duty::~control_duty() = default;

void control_duty::set_up() {
    const address& where = this->wiring.settings.listen.peers;
    this->socket = std::make_unique<QUdpSocket>();
    if (!this->socket->bind(
            QHostAddress{where.ip}, where.port, QUdpSocket::DontShareAddress
        )) {
        throw std::runtime_error{fmt::format(
            "can't bind {}: {}",
            to_string(where),
            this->socket->errorString().toStdString()
        )};
    }
    QObject::connect(
        this->socket.get(),
        &QUdpSocket::readyRead,
        this->context(),
        [this] {
            this->read_datagrams();
        }
    );
    this->announce({});
    this->publish_view();
    this->messages.open(this->context(), [this](control_message&& message) {
        this->take(std::move(message));
    });
    this->timer = std::make_unique<QTimer>();
    this->timer->setTimerType(Qt::PreciseTimer);
    this->timer->setInterval(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            lease::tick_interval
        )
    );
    QObject::connect(
        this->timer.get(),
        &QTimer::timeout,
        this->context(),
        [this] {
            this->feed(control::tick{});
            this->apply_plan_event(control::plan_tick{});
            this->feed_shares(share::ingress_tick{});
        }
    );
    this->timer->start();
}

void control_duty::tear_down() {
    this->messages.close();
    this->timer.reset();
    this->socket.reset();
}

bool control_duty::has_left() const {
    return this->left;
}

void control_duty::take(control_message&& message) {
    if (auto* result = std::get_if<store_result>(&message)) {
        this->take_result(*result);
    } else if (auto* ordered = std::get_if<control::apply_ordered>(&message)) {
        this->apply_plan_event(*ordered);
    } else if (auto* needed = std::get_if<share_needed>(&message)) {
        this->feed_shares(share::share_wanted{needed->customer});
    } else if (auto* bulk = std::get_if<incoming_control>(&message)) {
        this->take_envelope(bulk->payload);
    } else if (auto* served = std::get_if<served_services>(&message)) {
        this->announce(std::move(served->services));
    } else if (auto* load = std::get_if<measured_load>(&message)) {
        this->feed(control::load_measured{std::move(load->services)});
    } else if (auto* drained = std::get_if<assignment::range_drained>(&message)) {
        this->feed(*drained);
    } else if (auto* memory = std::get_if<outgoing_handover>(&message)) {
        this->feed(control::memory_to_send{
            memory->host, std::move(memory->memory)});
    } else if (auto* report = std::get_if<upstream::crash_report>(&message)) {
        this->feed(*report);
    } else {
        this->feed(control::drain_requested{});
    }
}

void control_duty::take_result(const store_result& result) {
    if (const auto* done = std::get_if<platform::transaction_done>(&result)) {
        if (control::is_plan_operation(done->id)) {
            this->apply_plan_event(*done);
        } else {
            this->feed(*done);
        }
    } else if (const auto* rows = std::get_if<platform::rows_read>(&result)) {
        if (control::is_plan_operation(rows->id)) {
            this->apply_plan_event(*rows);
        } else {
            this->feed(*rows);
        }
    } else if (const auto* put = std::get_if<platform::object_put>(&result)) {
        this->apply_plan_event(*put);
    } else if (const auto* got = std::get_if<platform::object_got>(&result)) {
        this->apply_plan_event(*got);
    }
}

void control_duty::announce(std::vector<member::served_service> services) {
    // Every daemon can own customers, whatever stands beside it.
    member::served_service customers;
    customers.service = control::customers_service;
    customers.slots = 1;
    customers.slice_count = control::customers_slices;
    services.push_back(std::move(customers));
    this->feed(control::services_announced{std::move(services)});
}

void control_duty::read_datagrams() {
    while (this->socket->hasPendingDatagrams()) {
        const std::string bytes =
            this->socket->receiveDatagram().data().toStdString();
        ++this->datagrams_received;
        this->datagram_bytes_received += bytes.size();
        const auto payload =
            link::open_datagram(this->wiring.settings.peers_key, bytes);
        if (payload) {
            this->take_envelope(*payload);
        } else {
            ++this->refused_datagrams;
        }
    }
}

void control_duty::take_envelope(const std::string& payload) {
    try {
        this->feed(decode<control::envelope>(payload));
    } catch (const decode_error&) {
        ++this->refused_datagrams;
    }
}

void control_duty::feed(const control::event& what) {
    const control::actions actions =
        control::step(this->controller, what, boot_clock::now(), this->random);
    // Before any action: nothing may be dispatched past the lease.
    this->wiring.state.lease_valid_until =
        control::lease_valid_until(this->controller);
    for (const control::action& one : actions) {
        this->perform(one);
    }
}

void control_duty::perform(const control::action& what) {
    if (const auto* message = std::get_if<control::envelope>(&what)) {
        this->send(*message);
    } else if (const auto* work = std::get_if<platform::submit_transaction>(&what)) {
        if (!this->wiring.store.push(*work)) {
            this->messages.push(store_result{
                platform::transaction_done{work->id, {}}});
        }
    } else if (const auto* read = std::get_if<platform::read_rows>(&what)) {
        if (!this->wiring.store.push(*read)) {
            this->messages.push(store_result{platform::rows_read{read->id, {}}}
            );
        }
    } else if (std::holds_alternative<control::publish_view>(what)) {
        this->publish_view();
    } else if (std::holds_alternative<control::publish_owner>(what)) {
        this->publish_owner();
    } else if (const auto* stop = std::get_if<assignment::stop_dispatching>(&what)) {
        this->wiring.dispatch.push(*stop);
    } else if (const auto* resume = std::get_if<assignment::resume_dispatching>(&what)) {
        this->wiring.dispatch.push(*resume);
    } else if (const auto* released = std::get_if<assignment::range_released>(&what)) {
        this->wiring.dispatch.push(*released);
    } else if (const auto* memory = std::get_if<request::slice_handover>(&what)) {
        this->wiring.dispatch.push(*memory);
    } else if (const auto* report = std::get_if<upstream::crash_report>(&what)) {
        this->wiring.dispatch.push(*report);
    } else if (const auto* plan = std::get_if<control::plan_arrived>(&what)) {
        this->apply_plan_event(control::plan_message_received{
            plan->from, plan->message});
    } else if (const auto* share = std::get_if<control::share_arrived>(&what)) {
        if (const auto* grants =
                std::get_if<share::share_grants>(&share->message)) {
            this->feed_shares(share::grants_received{*grants});
        } else {
            this->apply_plan_event(control::share_message_received{
                share->from, share->message});
        }
    } else if (std::holds_alternative<control::left>(what)) {
        this->left = true;
        log::write(log::level::info, log_prefix, "Left.");
    }
}

void control_duty::send(const control::envelope& what) {
    std::string payload = encode(what);
    if (payload.size() > max_datagram_payload) {
        ++this->bulk_sent;
        this->wiring.links.push(outgoing_control{what.to, std::move(payload)});
        return;
    }
    const std::string bytes =
        link::seal_datagram(this->wiring.settings.peers_key, payload);
    const address where = peer_address(what.to);
    ++this->datagrams_sent;
    this->datagram_bytes_sent += bytes.size();
    this->socket->writeDatagram(
        bytes.data(),
        static_cast<qint64>(bytes.size()),
        QHostAddress{where.ip},
        where.port
    );
}

void control_duty::publish_view() {
    const auto before = this->wiring.state.view.load();
    auto view = std::make_shared<routing_view>();
    view->self = control::self_ref(this->controller);
    const assignment::assignment_map& map = this->controller.follower.map;
    const bool same_map =
        before->map != nullptr && before->map->version == map.version;
    view->map = same_map
                    ? before->map
                    : std::make_shared<const assignment::assignment_map>(map);
    for (const auto& [host, row] : this->controller.participant.members.rows) {
        view->members.emplace(host, row.record);
    }
    if (view->self != before->self) {
        log::write(
            log::level::info,
            log_prefix,
            view->self.incarnation == incarnation{} ? "No longer a member."
                                                    : "Joined.",
            {{"self", name_of(view->self)}}
        );
    }
    this->wiring.shares.set_self(view->self);
    this->wiring.state.view.store(std::move(view));
    this->send_running_members();
}

void control_duty::publish_owner() {
    auto owner = std::make_shared<assignment::owner_state>();
    const assignment::owner_state& present = this->controller.owner;
    owner->self = present.self;
    owner->releases = present.releases;
    owner->ended = present.ended;
    owner->leaving_since = present.leaving_since;
    owner->told_all_released = present.told_all_released;
    this->wiring.dispatch.push(owner_changed{std::move(owner)});
}

nlohmann::json control_duty::description() const {
    const lease::description lease =
        lease::describe(this->controller.participant, boot_clock::now());
    nlohmann::json guardians = nlohmann::json::object();
    for (const lease::guardian_description& one : lease.guardians) {
        guardians[name_of(one.guardian)] = {
            {"promised_ms", one.promised_for.count() / 1'000'000},
            {"silent_ms", one.silent_for.count() / 1'000'000}};
    }
    static constexpr std::array roles{
        "waiting", "reading", "claiming", "leading"};
    const assignment::planner& planner = this->controller.planner;
    return {
        {"stage", lease.stage},
        {"generation", lease.generation.value},
        {"renews_in_table", lease.renews_in_table},
        {"lease_valid_ms", lease.lease_valid_for.count() / 1'000'000},
        {"guardians", std::move(guardians)},
        {"wards", lease.guarded_holders.size()},
        {"suspects", lease.suspects.size()},
        {"known_members", lease.known_members},
        {"planner",
         {{"host", to_string(peer_address(lease.planner))},
          {"role", roles.at(static_cast<std::size_t>(planner.role))},
          {"moves_pending", planner.moves.pending.size()},
          {"moves_active", planner.moves.active.size()}}},
        {"map_version", this->controller.follower.map.version.value},
        {"plan_version", this->wiring.shares.version().value},
        {"customers_in_use", this->wiring.shares.customers()},
        {"customer_slices_owned", this->plan_controller.owned.size()},
        {"customers_lent", this->plan_controller.lender.customers.size()},
        {"applies_running", this->plan_controller.applies.size()},
        {"releases", this->controller.owner.releases.size()},
        {"operations_in_flight", this->controller.operations.size()},
        {"datagrams_sent", this->datagrams_sent},
        {"datagrams_received", this->datagrams_received},
        {"datagram_bytes_sent", this->datagram_bytes_sent},
        {"datagram_bytes_received", this->datagram_bytes_received},
        {"bulk_sent", this->bulk_sent},
        {"refused_datagrams", this->refused_datagrams},
        {"inbox", this->messages.size()},
        {"inbox_refused", this->messages.refused_count()}};
}

} // namespace apricotstile::daemon

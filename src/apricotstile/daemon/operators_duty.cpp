// Operators' requests.

#include <apricotstile/daemon/operators_duty.hpp>

#include <apricotstile/command/exchange.hpp>
#include <apricotstile/daemon/control_duty.hpp>
#include <apricotstile/link/authentication.hpp>
#include <apricotstile/log/logger.hpp>
#include <apricotstile/metrics/text_format.hpp>

namespace apricotstile::daemon {

namespace {

constexpr std::uint16_t status_accepted = 202;
constexpr std::uint16_t status_malformed = 400;
constexpr std::size_t max_request_bytes = 16U << 20U;
constexpr std::uint16_t status_unauthorized = 401;
constexpr std::uint16_t status_not_found = 404;

nlohmann::json describe_member(const member::member_record& one) {
    static constexpr std::array states{"active", "draining", "deposed", "left"};
    nlohmann::json services = nlohmann::json::array();
    for (const member::served_service& served : one.services) {
        services.push_back(served.service.value);
    }
    return {
        {"incarnation", one.self.incarnation.value},
        {"region", one.where.region.value},
        {"failure_domain", one.where.failure_domain.value},
        {"state", states.at(static_cast<std::size_t>(one.state))},
        {"guardians", one.guardians.size()},
        {"generation", one.generation.value},
        {"services", std::move(services)}};
}

nlohmann::json describe_view(const published_state& state) {
    const auto view = state.view.load();
    nlohmann::json result;
    result["self"] = to_string(peer_address(view->self.host));
    result["incarnation"] = view->self.incarnation.value;
    result["draining"] = state.draining.load();
    const duration left = state.lease_valid_until.load() - boot_clock::now();
    result["lease_left_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    result["members"] = nlohmann::json::object();
    for (const auto& [host, one] : view->members) {
        result["members"][to_string(peer_address(host))] = describe_member(one);
    }
    if (view->map == nullptr) {
        return result;
    }
    result["map_version"] = view->map->version.value;
    result["owned_slices"] = nlohmann::json::object();
    for (const auto& [service, assigned] : view->map->services) {
        std::size_t owned = 0;
        for (const auto& slice : assigned.slices) {
            owned += slice.owner == view->self ? 1 : 0;
        }
        result["owned_slices"][service.value] = owned;
    }
    return result;
}

} // namespace

operators_duty::operators_duty(operators_wiring parts)
    : duty("operators"), wiring(std::move(parts)) {}

operators_duty::~operators_duty() = default;

void operators_duty::set_up() {
    http::server_limits limits;
    limits.max_request_bytes = max_request_bytes;
    this->server = std::make_unique<http::server>(
        limits,
        [this](http::exchange_id exchange, http::http_request&& message) {
            this->take(exchange, message);
        },
        [](http::exchange_id) {}
    );
    this->server->listen_on(this->wiring.operators);
}

void operators_duty::tear_down() {
    this->server.reset();
}

bool operators_duty::is_authorized(const http::http_request& message) const {
    return link::same_code(
        header_value(message.headers, "Authorization"),
        "Bearer " + this->wiring.token
    );
}

nlohmann::json operators_duty::dump() const {
    nlohmann::json result;
    result["view"] = describe_view(this->wiring.state);
    for (duty* const one : this->wiring.duties) {
        result[one->name()] = one->describe();
    }
    result["operators"] = this->description();
    result["log"] = {{"dropped_lines", log::dropped_lines()}};
    return result;
}

void operators_duty::take(
    http::exchange_id exchange, const http::http_request& message
) {
    http::http_response response;
    if (!this->is_authorized(message)) {
        ++this->refused_without_token;
        response.status = status_unauthorized;
    } else if (message.method == "GET" && message.path == "/dump") {
        response.body = this->dump().dump(2);
    } else if (message.method == "GET" && message.path == "/metrics") {
        response.content_type = "text/plain; version=0.0.4";
        response.body = metrics::to_text_format(this->dump());
    } else if (message.method == "POST" && message.path == "/plans/apply") {
        this->start_apply(exchange, message.body);
        return;
    } else if (message.method == "GET" && message.path == "/plans/status") {
        response.body =
            command::write_status(this->wiring.control.plan_status());
    } else if (message.method == "POST" && message.path == "/drain") {
        response.status = status_accepted;
        response.body = "{}";
        this->wiring.drain();
    } else {
        response.status = status_not_found;
    }
    this->server->reply(exchange, response);
}

void operators_duty::start_apply(
    http::exchange_id exchange, const std::string& body
) {
    http::http_response refused;
    refused.status = status_malformed;
    try {
        const command::apply_order order = command::read_order(body);
        plan::check_result checked = plan::check(order.texts);
        if (!checked.accepted) {
            refused.body = R"({"error":"the lists have errors"})";
            this->server->reply(exchange, refused);
            return;
        }
        ++this->last_order;
        this->applies[this->last_order] = exchange;
        this->wiring.control.messages.push(control::apply_ordered{
            this->last_order,
            {order.id, order.based_on, std::move(checked.lists)}});
    } catch (const command::exchange_error& error) {
        refused.body = nlohmann::json{{"error", error.what()}}.dump();
        this->server->reply(exchange, refused);
    }
}

void operators_duty::apply_settled(const control::apply_settled& settled) {
    QMetaObject::invokeMethod(
        this->context(),
        [this, settled] {
            this->answer_apply(settled);
        },
        Qt::QueuedConnection
    );
}

void operators_duty::answer_apply(const control::apply_settled& settled) {
    const auto node = this->applies.extract(settled.order);
    if (node.empty() || this->server == nullptr) {
        return;
    }
    http::http_response response;
    response.body = command::write_report(settled.report);
    this->server->reply(node.mapped(), response);
}

nlohmann::json operators_duty::description() const {
    return {{"refused_without_token", this->refused_without_token}};
}

} // namespace apricotstile::daemon

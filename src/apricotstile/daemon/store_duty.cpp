// The platform's calls on connections that never send a call twice.

#include <apricotstile/daemon/store_duty.hpp>

#include <apricotstile/daemon/internal/platform_protocol.hpp>
#include <apricotstile/http/client_pool.hpp>

#include <QByteArray>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;
using http::exchange_failure;
using http::exchange_result;

constexpr std::size_t inbox_capacity = 4096;
constexpr std::size_t max_connections = 8;
constexpr duration call_timeout = 2s;
constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_unavailable = 503;

bool is_ok(const exchange_result& result) {
    return result.failure == exchange_failure::none &&
           result.response.status == status_ok;
}

platform::commit_result commit_result_of(const exchange_result& result) {
    if (is_ok(result)) {
        return internal::read_commit_answer(result.response.body);
    }
    const bool refused = result.failure == exchange_failure::none &&
                         result.response.status == status_unavailable;
    if (refused || result.failure == exchange_failure::not_sent) {
        return {platform::commit_status::unavailable, {}};
    }
    return {platform::commit_status::unknown, {}};
}

} // namespace

store_duty::store_duty(
    const settings::platform_addresses& where, inbox<control_message>& results
)
    : duty("store"), messages(inbox_capacity), addresses(where),
      control(results) {}

store_duty::~store_duty() = default;

void store_duty::set_up() {
    this->table = std::make_unique<http::client_pool>(
        this->addresses.table, max_connections
    );
    this->objects = std::make_unique<http::client_pool>(
        this->addresses.objects, max_connections
    );
    this->messages.open(this->context(), [this](store_request&& request) {
        ++this->calls;
        this->waiting.push_back(std::move(request));
        this->start_waiting();
    });
}

void store_duty::tear_down() {
    this->messages.close();
    this->table.reset();
    this->objects.reset();
}

void store_duty::start_waiting() {
    while (!this->waiting.empty() && this->table->has_room() &&
           this->objects->has_room()) {
        store_request request = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->start(std::move(request));
    }
}

void store_duty::start(store_request&& request) {
    std::visit(
        [this](const auto& call) {
            this->perform(call);
        },
        request
    );
}

void store_duty::send(
    http::client_pool& pool,
    const http::http_request& request,
    std::function<store_result(exchange_result&&)> interpret
) {
    pool.start(
        request,
        call_timeout,
        [this, interpret = std::move(interpret)](exchange_result&& result) {
            if (!is_ok(result)) {
                ++this->failed;
            }
            this->control.push(control_message{interpret(std::move(result))});
            this->start_waiting();
        }
    );
}

void store_duty::perform(const platform::submit_transaction& call) {
    http::http_request request;
    request.method = "POST";
    request.path = "/table/commit";
    request.body = internal::commit_body(call.work);
    this->send(
        *this->table,
        request,
        [id = call.id](exchange_result&& result) -> store_result {
            return platform::transaction_done{id, commit_result_of(result)};
        }
    );
}

void store_duty::perform(const platform::read_rows& call) {
    http::http_request request;
    request.method = "GET";
    request.path = "/table/rows";
    request.query = "prefix=" + QByteArray::fromStdString(call.prefix)
                                    .toPercentEncoding()
                                    .toStdString();
    this->send(
        *this->table,
        request,
        [id = call.id](exchange_result&& result) -> store_result {
            platform::rows_read done{id, {}};
            if (is_ok(result)) {
                done.result = internal::read_rows_answer(result.response.body);
            }
            return done;
        }
    );
}

void store_duty::perform(const platform::put_object& call) {
    http::http_request request;
    request.method = "PUT";
    request.path = "/objects/" + call.name.value;
    request.body = call.body;
    this->send(
        *this->objects,
        request,
        [id = call.id](exchange_result&& result) -> store_result {
            return platform::object_put{id, is_ok(result)};
        }
    );
}

void store_duty::perform(const platform::get_object& call) {
    http::http_request request;
    request.method = "GET";
    request.path = "/objects/" + call.name.value;
    this->send(
        *this->objects,
        request,
        [id = call.id](exchange_result&& result) -> store_result {
            const bool found = is_ok(result);
            return platform::object_got{
                id,
                found,
                found ? std::move(result.response.body) : std::string{}};
        }
    );
}

nlohmann::json store_duty::description() const {
    return {
        {"calls", this->calls},
        {"waiting", this->waiting.size()},
        {"running", this->table->running() + this->objects->running()},
        {"failed", this->failed},
        {"timed_out", this->table->timed_out() + this->objects->timed_out()},
        {"inbox", this->messages.size()},
        {"inbox_refused", this->messages.refused_count()}};
}

} // namespace apricotstile::daemon

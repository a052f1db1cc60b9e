// The open loop: a timer offers what is due, exchanges report back.

#include <standins/caller/load_caller.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <QCoreApplication>

#include <stdexcept>

namespace apricotstile::standins {

namespace {

constexpr std::chrono::milliseconds tick{1};
/// Beyond the deadline, before an exchange counts as timed out.
constexpr std::chrono::milliseconds time_to_spare{500};

std::unique_ptr<http::client_pool>
make_pool(const std::string& text, std::size_t connections) {
    const auto where = parse_address(text);
    if (!where) {
        throw std::runtime_error("not ADDRESS:PORT: '" + text + "'");
    }
    return std::make_unique<http::client_pool>(*where, connections);
}

attempt begin_attempt(
    const planned_call& call, std::uint32_t number, const std::string& daemon
) {
    attempt made;
    made.call = call.name;
    made.number = number;
    made.daemon = daemon;
    made.service = call.service;
    made.key = call.key;
    made.customer = call.customer;
    made.idempotency_key = call.idempotency_key;
    made.sent = boot_clock::now();
    made.due = made.sent;
    made.done = made.sent;
    return made;
}

template <class Function>
void call_later(QObject* context, duration pause, Function&& function) {
    QTimer::singleShot(
        std::chrono::ceil<std::chrono::milliseconds>(pause),
        Qt::PreciseTimer,
        context,
        std::forward<Function>(function)
    );
}

} // namespace

load_caller::load_caller(const load_settings& chosen)
    : settings(chosen),
      generator(make_call_generator(chosen.mix, chosen.name_prefix, chosen.seed)
      ),
      daemon_choice(chosen.seed), out(chosen.log_file) {
    if (!this->out) {
        throw std::runtime_error("can't open " + chosen.log_file);
    }
    for (const std::string& name : chosen.daemons) {
        this->daemons.push_back(
            {name, make_pool(name, chosen.connections_per_daemon)}
        );
    }
    this->next_due = boot_clock::now();
    this->last_due = this->next_due + chosen.run_for;
    QObject::connect(&this->ticks, &QTimer::timeout, &this->context, [this] {
        this->offer_due_calls();
    });
    this->ticks.setTimerType(Qt::PreciseTimer);
    this->ticks.start(tick);
}

void load_caller::stop() {
    this->stopping = true;
    this->check_end();
}

void load_caller::offer_due_calls() {
    const instant now = boot_clock::now();
    while (!this->stopping && this->next_due <= now) {
        auto open = std::make_shared<open_call>();
        open->call = draw_call(this->generator);
        if (!is_idempotent(open->call)) {
            open->call.ticket =
                this->tickets[{open->call.service, open->call.key}];
        }
        open->due = this->next_due;
        ++this->open_calls;
        this->make_attempt(open, 1);
        this->next_due += draw_gap(this->generator);
        this->stopping = this->next_due >= this->last_due;
    }
    this->check_end();
}

load_caller::daemon_pool* load_caller::pick_daemon() {
    const std::size_t first =
        random_below(this->daemon_choice, this->daemons.size());
    for (std::size_t step = 0; step < this->daemons.size(); ++step) {
        daemon_pool& one = this->daemons[(first + step) % this->daemons.size()];
        if (one.pool->has_room()) {
            return &one;
        }
    }
    return nullptr;
}

http::http_request load_caller::request_for(const planned_call& call) const {
    const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->settings.deadline
    );
    http::http_request request;
    request.method = call.method;
    request.path = fmt::format("/v1/{}/{}/item", call.service, call.key);
    request.query = "call=" + call.name;
    request.body = call.body;
    request.headers = {
        {"Apricotstile-Customer", call.customer},
        {"Apricotstile-Deadline-Ms", std::to_string(deadline.count())}};
    if (!call.idempotency_key.empty()) {
        request.headers.push_back({"Idempotency-Key", call.idempotency_key});
    }
    if (!call.ticket.empty()) {
        request.headers.push_back({"Apricotstile-Ticket", call.ticket});
    }
    return request;
}

void load_caller::make_attempt(const call_pointer& open, std::uint32_t number) {
    daemon_pool* const daemon = this->pick_daemon();
    attempt made = begin_attempt(
        open->call, number, daemon == nullptr ? "" : daemon->name
    );
    if (number == 1) {
        made.due = open->due;
    }
    if (daemon == nullptr) {
        made.result = attempt_result::not_sent;
        made.refusal = "no_connection_free";
        this->attempt_done(open, made);
        return;
    }
    const duration allowed = this->settings.deadline + time_to_spare;
    const http::client_exchange exchange = daemon->pool->start(
        this->request_for(open->call),
        allowed,
        [this, open, made, allowed](http::exchange_result&& got) mutable {
            made.done = boot_clock::now();
            note_exchange(made, open->call, got, allowed);
            this->attempt_done(open, made);
        }
    );
    if (number == 1 && open->call.hang_up_after) {
        this->schedule_hang_up(open, made, *daemon->pool, exchange);
    }
}

void load_caller::schedule_hang_up(
    const call_pointer& open,
    const attempt& made,
    http::client_pool& pool,
    http::client_exchange exchange
) {
    call_later(
        &this->context,
        *open->call.hang_up_after,
        [this, open, ended = attempt{made}, &pool, exchange]() mutable {
            if (open->attempts_done >= ended.number) {
                return;
            }
            pool.abandon(exchange);
            ended.done = boot_clock::now();
            ended.result = attempt_result::hung_up;
            this->attempt_done(open, ended);
        }
    );
}

void load_caller::attempt_done(const call_pointer& open, const attempt& made) {
    this->log(made);
    if (!made.fresh_ticket.empty()) {
        this->tickets[{made.service, made.key}] = made.fresh_ticket;
    }
    open->attempts_done = made.number;
    const auto pause = pause_after(this->settings.retries, made, open->due);
    if (!pause) {
        --this->open_calls;
        this->check_end();
        return;
    }
    call_later(&this->context, *pause, [this, open, number = made.number + 1] {
        this->make_attempt(open, number);
    });
}

void load_caller::log(const attempt& made) {
    this->out << to_line(made).dump() << '\n';
}

void load_caller::check_end() {
    if (this->stopping && this->open_calls == 0) {
        this->out.flush();
        QCoreApplication::quit();
    }
}

} // namespace apricotstile::standins

// The limit on requests to the instance while it is cold: what the instance
// says of it, and the log of its changes.

#include <apricotstile/peer/log_format.hpp>
#include <apricotstile/sidecar/internal/local_work.hpp>

#include <apricotstile/log/logger.hpp>

#include <fmt/format.h>

#include <charconv>

namespace apricotstile::sidecar {

namespace {

using namespace std::chrono_literals;
using internal::idle_margin;
using peer::unanswered_response;

/// Between two warnings about malformed values.
constexpr duration warning_interval = 10s;

constexpr auto log_prefix = "instance";

/// Nothing unless the text is a number of milliseconds.
std::optional<duration> parse_cold_time(std::string_view text) {
    double millis = 0;
    const char* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, millis);
    if (read.ec != std::errc{} || read.ptr != end) {
        return std::nullopt;
    }
    return serving::cold_time_from_millis(millis);
}

} // namespace

bool local_instance::is_cold() const {
    return serving::is_cold(this->queue.cold, boot_clock::now());
}

const serving::cold_limit& local_instance::cold_state() const {
    return this->queue.cold;
}

void local_instance::set_cold_handler(std::function<void()> on_cold_change) {
    this->on_cold_change = std::move(on_cold_change);
}

void local_instance::set_cold_policy(
    const std::optional<serving::cold_policy>& policy
) {
    serving::set_cold_policy(this->queue.cold, policy, boot_clock::now());
    this->update_cold("configuration");
}

void local_instance::note_heartbeat(duration cold_remaining, bool is_new_run) {
    serving::note_heartbeat(this->queue.cold, is_new_run, boot_clock::now());
    this->note_cold_time(cold_remaining, "heartbeat");
}

void local_instance::read_cold_time(const std::vector<http::header>& headers) {
    const std::string_view text =
        http::header_value(headers, this->names.cold_remaining);
    if (!text.empty()) {
        this->note_cold_time(parse_cold_time(text), "answer");
    }
}

/// The instance can't be reached. If it is restarting, requests may get to its
/// next run before that run has said anything.
void local_instance::note_possible_restart() {
    serving::note_instance_down(this->queue.cold, boot_clock::now());
    this->update_cold("down");
}

/// An idle connection has ended. If that was long before its timeout, the
/// instance may have crashed, which no request shows if there are none.
void local_instance::check_after_idle_end(const connection& conn) {
    const duration idle = boot_clock::now() - conn.idle_since;
    if (this->queue.cold.policy && idle + idle_margin < conn.idle_timeout) {
        this->check_still_listening();
    }
}

/// `remaining` is nothing if the instance's value is malformed, which changes
/// nothing.
void local_instance::note_cold_time(
    std::optional<duration> remaining, const char* source
) {
    const instant now = boot_clock::now();
    if (remaining) {
        serving::note_cold_time(this->queue.cold, *remaining, now);
    } else if (now >= this->next_cold_warning) {
        this->next_cold_warning = now + warning_interval;
        log::write(
            log::level::warning,
            log_prefix,
            "Ignoring a malformed cold time of the instance.",
            {{"instance", this->instance.id}, {"source", source}}
        );
    }
    this->update_cold(source);
}

/// Acts on a change of whether the instance is cold, or until when it is.
void local_instance::update_cold(const char* source) {
    const instant now = boot_clock::now();
    const serving::cold_limit& limit = this->queue.cold;
    const bool cold = serving::is_cold(limit, now);
    if (cold) {
        this->schedule_cold_check();
    }
    if (cold == this->was_cold) {
        return;
    }
    this->was_cold = cold;
    if (cold) {
        this->cold_since = now;
        this->cold_rejections_before = limit.rejections;
        log::write(
            log::level::info,
            log_prefix,
            "Instance is cold; limiting its requests.",
            {{"instance", this->instance.id},
             {"source", source},
             {"left_ms", peer::millis_text(serving::cold_until(limit) - now)},
             {"per_second", fmt::format("{:.2f}", limit.policy->per_second)},
             {"burst", fmt::format("{:.2f}", limit.policy->burst)}}
        );
    } else {
        log::write(
            log::level::info,
            log_prefix,
            "Instance is warm.",
            {{"instance", this->instance.id},
             {"cold_ms", peer::millis_text(now - this->cold_since)},
             {"refused",
              std::to_string(limit.rejections - this->cold_rejections_before)},
             {"waiting", std::to_string(this->queue.waiting.size())}}
        );
    }
    // Callers of this function may be handling one of the requests concerned.
    this->timers.after(0ms, [this] {
        this->perform_actions(
            serving::apply_cold_limit(this->queue, boot_clock::now())
        );
    });
    if (this->on_cold_change) {
        this->on_cold_change();
    }
}

/// Checks again once the instance is expected to be warm.
void local_instance::schedule_cold_check() {
    if (this->cold_check_due) {
        return;
    }
    this->cold_check_due = true;
    this->timers.at(serving::cold_until(this->queue.cold), [this] {
        this->cold_check_due = false;
        this->update_cold("time");
    });
}

/// A request that had to wait long for its connection may exceed the limit by
/// now. It is refused then: nothing of it has been sent.
void local_instance::handle_connected(connection& conn) {
    work* const item = conn.current;
    if (item == nullptr) {
        return;
    }
    const duration wait = serving::count_late_send(
        this->queue.cold, item->started, boot_clock::now()
    );
    if (wait == duration{0}) {
        return;
    }
    conn.current = nullptr;
    item->conn = nullptr;
    this->close_connection(conn);
    this->finish(
        *item, unanswered_response(serving::attempt_outcome::refused_busy, wait)
    );
}

} // namespace apricotstile::sidecar

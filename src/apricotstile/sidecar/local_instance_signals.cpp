// What the instance says of itself in its answers: the requests that it accepts
// a second, and that it leaves.

#include <apricotstile/sidecar/internal/local_work.hpp>

#include <apricotstile/log/logger.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace apricotstile::sidecar {

namespace {

using internal::default_service_time;

constexpr auto log_prefix = "instance";

/// Between two warnings about malformed loads.
constexpr duration warning_interval = std::chrono::seconds{10};

/// An instance that accepts next to nothing still counts as part of a slot.
constexpr double min_usable_slots = 0.1;

} // namespace

std::optional<double> local_instance::rate_limit() const {
    return this->stated_limit;
}

void local_instance::set_rate_limit(std::optional<double> per_second) {
    if (this->stated_limit == per_second) {
        return;
    }
    this->stated_limit = per_second;
    const auto actions =
        serving::set_start_limit(this->queue, per_second, boot_clock::now());
    log::write(
        log::level::info,
        log_prefix,
        per_second ? "Instance limits its requests."
                   : "Instance no longer limits its requests.",
        {{"instance", this->instance.id},
         {"per_second", per_second ? fmt::format("{}", *per_second) : "none"}}
    );
    this->perform_actions(actions);
}

/// Starts waiting work as soon as the instance's limit allows it.
void local_instance::schedule_start() {
    const instant now = boot_clock::now();
    const auto next_start = serving::next_start(this->queue, now);
    if (!next_start || this->start_scheduled) {
        return;
    }
    this->start_scheduled = true;
    this->timers.at(*next_start, [this] {
        this->start_scheduled = false;
        this->perform_actions(serving::start_due(this->queue, boot_clock::now())
        );
    });
}

double local_instance::warm_slots() const {
    return std::max(
        min_usable_slots, serving::usable_slots(this->queue, this->mean_time())
    );
}

double local_instance::usable_slots() const {
    return std::max(
        min_usable_slots,
        serving::usable_slots_while_cold(
            this->queue, this->mean_time(), boot_clock::now()
        )
    );
}

/// Mean service time, or an assumption before the first answer.
duration local_instance::mean_time() const {
    return this->times.overall_mean > duration{0} ? this->times.overall_mean
                                                  : default_service_time;
}

double local_instance::requests_per_slot() const {
    return static_cast<double>(
               this->queue.running.size() + this->queue.waiting.size()
           ) /
           this->usable_slots();
}

bool local_instance::is_limited() const {
    return this->usable_slots() < this->queue.policy.slots;
}

void local_instance::read_leaving(const std::vector<http::header>& headers) {
    if (!this->leaving && http::says_leaving(headers, this->names)) {
        this->leaving = true;
        this->on_leaving();
    }
}

/// Each answer says whether the instance limits its requests. A value that is
/// no number changes nothing.
void local_instance::read_rate_limit(const std::vector<http::header>& headers) {
    const std::string_view text =
        http::header_value(headers, this->names.server_limit);
    if (text.empty()) {
        this->set_rate_limit(std::nullopt);
        return;
    }
    double value = 0;
    const char* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    if (read.ec != std::errc{} || read.ptr != end || !std::isfinite(value) ||
        value < 0) {
        log::write(
            log::level::warning,
            log_prefix,
            "Ignoring a malformed limit of the instance.",
            {{"instance", this->instance.id}, {"value", std::string{text}}}
        );
        return;
    }
    this->set_rate_limit(value);
}

double local_instance::stated_factor() const {
    return serving::factor_now(this->stated, boot_clock::now());
}

void local_instance::read_stated_load(const std::vector<http::header>& headers
) {
    const std::string_view text =
        http::header_value(headers, this->names.server_load);
    if (text.empty()) {
        return;
    }
    const instant now = boot_clock::now();
    const auto figures = serving::parse_stated_load(text);
    if (figures) {
        if (figures->factor) {
            serving::note_stated_factor(this->stated, *figures->factor, now);
        }
    } else if (now >= this->next_load_warning) {
        this->next_load_warning = now + warning_interval;
        log::write(
            log::level::warning,
            log_prefix,
            "Ignoring a malformed load of the instance.",
            {{"instance", this->instance.id}, {"value", std::string{text}}}
        );
    }
}

} // namespace apricotstile::sidecar

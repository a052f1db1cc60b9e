// Room for callers: what is closed in favour of other callers when memory or
// connections run out.

#include <apricotstile/edge/internal/pending_request.hpp>

#include <apricotstile/log/logger.hpp>

#include <utility>

namespace apricotstile::edge {

namespace {

using namespace std::chrono_literals;

/// After a look through all callers that returned nothing.
constexpr duration eviction_interval = 100ms;

constexpr duration connection_warning_interval = 1s;

constexpr auto log_prefix = "ingress";

std::string_view name_of(serving::caller_state state) {
    switch (state) {
    case serving::caller_state::idle:
        return "idle";
    case serving::caller_state::sending:
        return "sending";
    case serving::caller_state::waiting:
        return "waiting";
    case serving::caller_state::reading:
        return "reading";
    }
    return "unknown";
}

} // namespace

std::vector<serving::caller_use> request_router::uses_of_callers() const {
    const instant now = boot_clock::now();
    std::vector<serving::caller_use> result;
    result.reserve(this->callers.size());
    for (const auto& [id, one] : this->callers) {
        result.push_back(one->use(now));
    }
    return result;
}

/// Whether another connection may be accepted; closes one for it if need be.
bool request_router::admit_connection() {
    if (this->callers.size() < this->dependencies.max_connections) {
        return true;
    }
    const auto chosen = serving::evict_for_connection(
        this->uses_of_callers(), this->dependencies.eviction
    );
    if (chosen) {
        ++this->counted.connections_evicted;
        this->callers.at(*chosen)->abort();
    } else {
        ++this->counted.connections_refused;
    }
    this->log_full();
    return chosen.has_value();
}

/// Logs that connections are closed for new ones, or new ones refused.
void request_router::log_full() {
    const instant now = boot_clock::now();
    if (now < this->next_connection_warning) {
        return;
    }
    this->next_connection_warning = now + connection_warning_interval;
    log::write(
        log::level::warning,
        log_prefix,
        "As many connections are open as are allowed.",
        {{"open", std::to_string(this->callers.size())},
         {"closed_for_others",
          std::to_string(this->counted.connections_evicted)},
         {"refused", std::to_string(this->counted.connections_refused)}}
    );
}

/// Whether a message of `caller` fits into the memory budget, after other
/// connections on which nothing moves were closed if need be.
bool request_router::make_room(
    caller_id caller, std::size_t added, std::size_t message_bytes
) {
    const std::size_t missing =
        serving::missing_bytes(this->memory, added, message_bytes);
    const instant now = boot_clock::now();
    if (missing == 0 || now < this->next_eviction_at) {
        return missing == 0;
    }
    std::vector<serving::caller_use> uses = this->uses_of_callers();
    std::erase_if(uses, [&](const serving::caller_use& one) {
        return one.id == caller;
    });
    const std::vector<caller_id> chosen = serving::evict_for_memory(
        std::move(uses), missing, this->dependencies.eviction
    );
    if (chosen.empty()) {
        this->next_eviction_at = now + eviction_interval;
        return false;
    }
    for (const caller_id one : chosen) {
        ++this->counted.evicted_for_memory;
        this->evict_for_memory(one);
    }
    return serving::fits(this->memory, added, message_bytes);
}

/// Closes a caller's connection. A request that hasn't arrived completely is
/// refused.
void request_router::evict_for_memory(caller_id caller) {
    this->log_eviction(caller);
    caller_connection& chosen = *this->callers.at(caller);
    if (chosen.use(boot_clock::now()).state == serving::caller_state::sending) {
        this->refuse_while_received(caller);
    } else {
        chosen.abort();
    }
}

void request_router::log_eviction(caller_id caller) const {
    const serving::caller_use use =
        this->callers.at(caller)->use(boot_clock::now());
    log::write(
        log::level::warning,
        log_prefix,
        "Connection closed to make room for other callers.",
        {{"state", std::string{name_of(use.state)}},
         {"bytes", std::to_string(use.bytes)},
         {"stalled_ms",
          std::to_string(use.stalled / std::chrono::milliseconds{1})}}
    );
}

} // namespace apricotstile::edge

// State of one caller's request at its ingress daemon until it is answered.

#ifndef APRICOTSTILE_REQUEST_ATTEMPT_HPP
#define APRICOTSTILE_REQUEST_ATTEMPT_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/request/journal.hpp>

#include <cstdint>
#include <string_view>

namespace apricotstile::request {

enum class attempt_state : std::uint8_t {
    /// A host is being chosen.
    routing,
    /// Sent on `stream` to `host`; no response yet.
    in_flight,
    /// Waits for a map of at least `awaited_map`.
    waiting_for_map,
    /// Waits until `resume_at` before it is routed again.
    backing_off
};

struct attempt {
    attempt_state state{attempt_state::routing};
    bool idempotent{true};
    /// Whether only the owner of its key may serve it.
    bool keyed{true};
    instant deadline;
    /// Number of sends, including the current one.
    std::uint32_t sends{0};
    /// Number of sends that were charged to the retry budget.
    std::uint32_t retries{0};
    /// Whether it was already rerouted by a newer map after `not_owner`.
    bool redirected{false};
    /// Number of waits for an owner that wasn't ready.
    std::uint32_t owner_waits{0};
    /// Whether an earlier send may have run; the outcome can then no longer be
    /// `not_run`.
    bool may_have_run{false};
    /// Valid in state `in_flight`; never reused.
    request_id stream;
    /// The host it was last sent to.
    host_id host;
    map_version routed_by;
    map_version awaited_map;
    instant resume_at;
    request::journal journal;
};

[[nodiscard]] std::string_view to_string(attempt_state value);

} // namespace apricotstile::request

#endif

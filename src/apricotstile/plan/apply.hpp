// Applies edited lists: stores the body under its content name, then updates
// the head row on the condition that it still names the version that the lists
// were based on.
//
// When the response to the commit is lost, its outcome is determined by reading
// the row of the new version. While that row is absent the transaction may
// still take effect, so it is only retried after a read that began later than
// the table service's deadline for it.

#ifndef APRICOTSTILE_PLAN_APPLY_HPP
#define APRICOTSTILE_PLAN_APPLY_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/plan/apply_report.hpp>
#include <apricotstile/plan/version_body.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace apricotstile::plan {

struct apply_policy {
    duration retry_interval{std::chrono::milliseconds{500}};
    /// The platform neither starts nor completes a call later than this.
    duration operation_deadline{std::chrono::seconds{5}};
    /// Longest time without a report to the operator.
    duration give_up_after{std::chrono::seconds{30}};
    /// Rows of older versions are deleted.
    std::uint64_t kept_versions{1024};
    /// Faults that tests inject to verify that they detect them; false in
    /// every daemon.
    bool fault_unconditional_commit{false};
    bool fault_retries_unresolved_commit{false};
};

struct apply_request {
    /// Drawn at random by the operator's tool. A request retried with the same
    /// id is applied at most once.
    apply_id id;
    /// Zero if no version exists yet.
    plan_version based_on;
    plan_lists lists;
};

enum class apply_phase : std::uint8_t {
    idle,
    reading_head,
    putting_body,
    committing,
    resolving_commit,
    reading_successor,
    reading_base_record,
    getting_base_body,
    getting_head_body,
    finished
};

/// One apply from request to report. Has at most one call in flight.
struct apply_state {
    apply_policy policy;
    apply_request request;
    apply_phase phase{apply_phase::idle};
    instant started;
    platform::operation_id last_operation;
    std::optional<platform::operation_id> in_flight;
    instant in_flight_since;
    /// When to retry the phase's call; set while no call is in flight.
    std::optional<instant> retry_at;
    instant commit_sent;
    /// True while a commit with an unknown outcome may take effect.
    bool commit_outcome_unknown{false};
    platform::row_version head_row;
    version_record head;
    platform::object_name base_body;
    plan_lists base_lists;
    std::string body;
};

struct apply_tick {};

using apply_event = std::variant<
    apply_request,
    apply_tick,
    platform::rows_read,
    platform::object_put,
    platform::object_got,
    platform::transaction_done>;

using apply_action = std::variant<
    platform::read_rows,
    platform::put_object,
    platform::get_object,
    platform::submit_transaction,
    apply_report>;

/// Pass an `apply_request` first, platform results as they arrive and an
/// `apply_tick` every 100 ms. The last action is an `apply_report`, the only
/// one.
[[nodiscard]] std::vector<apply_action>
step(apply_state& state, const apply_event& event, instant now);

} // namespace apricotstile::plan

#endif

// The three outcomes of a request that are reported to callers, and the
// reasons why it was not answered.

#ifndef APRICOTSTILE_REQUEST_OUTCOME_HPP
#define APRICOTSTILE_REQUEST_OUTCOME_HPP

#include <cstdint>
#include <string_view>

namespace apricotstile::request {

enum class outcome : std::uint8_t {
    /// The upstream's complete answer is returned.
    answered,
    /// It did not run and never will.
    not_run,
    /// It may have run, or may still be running.
    unknown
};

/// Why a request was not answered; sent to the caller by name.
enum class refusal : std::uint8_t {
    none,
    malformed,
    unknown_service,
    unknown_customer,
    not_allowed_by_plan,
    over_plan,
    no_owner,
    not_owner,
    lease_expired,
    overloaded,
    draining,
    deadline_passed,
    cancelled,
    key_reused_with_other_body,
    outcome_forgotten,
    quarantined,
    link_lost,
    upstream_lost,
    upstream_refused,
    upstream_timed_out,
    /// An earlier request with the same key is still running.
    in_progress
};

[[nodiscard]] std::string_view to_string(outcome value);
[[nodiscard]] std::string_view to_string(refusal value);

} // namespace apricotstile::request

#endif

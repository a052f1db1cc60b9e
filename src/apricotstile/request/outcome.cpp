// Names of outcomes and refusals as sent in headers and shown in dumps.

#include <apricotstile/request/outcome.hpp>

namespace apricotstile::request {

std::string_view to_string(outcome value) {
    switch (value) {
    case outcome::answered:
        return "answered";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

std::string_view to_string(refusal value) {
    switch (value) {
    case refusal::none:
        return "none";
    case refusal::malformed:
        return "malformed";
    case refusal::unknown_service:
        return "unknown_service";
    case refusal::unknown_customer:
        return "unknown_customer";
    case refusal::not_allowed_by_plan:
        return "not_allowed_by_plan";
    case refusal::over_plan:
        return "over_plan";
    case refusal::no_owner:
        return "no_owner";
    case refusal::not_owner:
        return "not_owner";
    case refusal::lease_expired:
        return "lease_expired";
    case refusal::overloaded:
        return "overloaded";
    case refusal::draining:
        return "draining";
    case refusal::deadline_passed:
        return "deadline_passed";
    case refusal::cancelled:
        return "cancelled";
    case refusal::key_reused_with_other_body:
        return "key_reused_with_other_body";
    case refusal::outcome_forgotten:
        return "outcome_forgotten";
    case refusal::quarantined:
        return "quarantined";
    case refusal::link_lost:
        return "link_lost";
    case refusal::upstream_lost:
        return "upstream_lost";
    case refusal::upstream_refused:
        return "upstream_refused";
    case refusal::upstream_timed_out:
        return "upstream_timed_out";
    case refusal::in_progress:
        return "in_progress";
    }
    return "invalid";
}

} // namespace apricotstile::request

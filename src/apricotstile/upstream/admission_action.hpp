// Actions that admission control asks its caller to carry out.

#ifndef APRICOTSTILE_UPSTREAM_ADMISSION_ACTION_HPP
#define APRICOTSTILE_UPSTREAM_ADMISSION_ACTION_HPP

#include <apricotstile/request/outcome.hpp>
#include <apricotstile/upstream/offered_work.hpp>

#include <variant>
#include <vector>

namespace apricotstile::upstream {

/// Send the request to the upstream now and report its end to `finished`.
struct start_work {
    work_id id;
};

/// Answer `not_run` with `refusal`; the request never starts.
struct shed_work {
    work_id id;
    request::refusal refusal{request::refusal::overloaded};
    duration retry_after{0};
};

/// Ask the upstream to stop; the end must still be reported to `finished`.
struct cancel_work {
    work_id id;
};

using admission_action = std::variant<start_work, shed_work, cancel_work>;
using admission_actions = std::vector<admission_action>;

} // namespace apricotstile::upstream

#endif

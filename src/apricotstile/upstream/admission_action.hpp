// What is to be done with work that was offered to an upstream.

#ifndef APRICOTSTILE_UPSTREAM_ADMISSION_ACTION_HPP
#define APRICOTSTILE_UPSTREAM_ADMISSION_ACTION_HPP

#include <apricotstile/request/outcome.hpp>
#include <apricotstile/upstream/offered_work.hpp>

#include <variant>
#include <vector>

namespace apricotstile::upstream {

/// Send it to the upstream at once, then report its end by `finished`.
struct start_work {
    work_id id;
};

/// It never starts: answer `not_run` with `refusal`.
struct shed_work {
    work_id id;
    request::refusal refusal{request::refusal::overloaded};
    duration retry_after{0};
};

/// Ask the upstream to stop it; its end is still to be reported.
struct cancel_work {
    work_id id;
};

using admission_action = std::variant<start_work, shed_work, cancel_work>;
using admission_actions = std::vector<admission_action>;

} // namespace apricotstile::upstream

#endif

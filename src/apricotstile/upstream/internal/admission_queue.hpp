// The queues of work that waits for an upstream.

#ifndef APRICOTSTILE_UPSTREAM_INTERNAL_ADMISSION_QUEUE_HPP
#define APRICOTSTILE_UPSTREAM_INTERNAL_ADMISSION_QUEUE_HPP

#include <apricotstile/upstream/admission.hpp>

#include <optional>

namespace apricotstile::upstream::internal {

[[nodiscard]] constexpr std::size_t index_of(request::work_class importance) {
    return static_cast<std::size_t>(importance);
}

/// The longest that anything waits.
[[nodiscard]] duration longest_wait(const admission& state);

/// How long a new request of `importance` would wait, as far as can be told.
[[nodiscard]] duration expected_wait(
    const admission& state, request::work_class importance, instant now
);

/// Sheds what has waited for too long or can't meet its deadline.
void shed_hopeless(admission& state, instant now, admission_actions& actions);

/// The class whose oldest request starts next; empty when none waits.
[[nodiscard]] std::optional<std::size_t> next_class(const admission& state);

/// Notes that `chosen` starts while others wait.
void count_start(admission& state, std::size_t chosen);

} // namespace apricotstile::upstream::internal

#endif

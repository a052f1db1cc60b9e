// Queues of requests that wait for the local upstream, one per work class.

#ifndef APRICOTSTILE_UPSTREAM_INTERNAL_ADMISSION_QUEUE_HPP
#define APRICOTSTILE_UPSTREAM_INTERNAL_ADMISSION_QUEUE_HPP

#include <apricotstile/upstream/admission.hpp>

#include <optional>

namespace apricotstile::upstream::internal {

[[nodiscard]] constexpr std::size_t index_of(request::work_class priority) {
    return static_cast<std::size_t>(priority);
}

/// Maximum time that a request may stay queued.
[[nodiscard]] duration max_queue_time(const admission& state);

/// Estimated queueing time of a new request of class `priority`.
[[nodiscard]] duration expected_queue_time(
    const admission& state, request::work_class priority, instant now
);

/// Sheds requests that were queued for too long or whose deadline has passed.
void shed_overdue(admission& state, instant now, admission_actions& actions);

/// Index of the class whose oldest request starts next; empty if all queues
/// are empty.
[[nodiscard]] std::optional<std::size_t> next_class(const admission& state);

/// Updates the starvation counters after a request of class `chosen` starts.
void update_skipped_starts(admission& state, std::size_t chosen);

} // namespace apricotstile::upstream::internal

#endif

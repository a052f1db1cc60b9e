// Where a request without a key starts or waits if load reports are stale: with
// 60 to 90 daemons that choose, each hears from an instance only every few
// seconds, so several send to the one that last looked idle.
//
// So a first attempt asks the instance's daemon to start the request at once. A
// daemon whose instance would make it wait longer than another try takes
// rejects it and returns its load, and after a few such rejections the best of
// the instances asked gets the request with permission to queue.

#ifndef APRICOTSTILE_SERVING_ASK_FIRST_HPP
#define APRICOTSTILE_SERVING_ASK_FIRST_HPP

#include <apricotstile/serving/instance_choice.hpp>

#include <optional>
#include <vector>

namespace apricotstile::serving {

struct ask_first_policy {
    /// Rejections after which the best instance asked may queue the request.
    std::size_t max_rejections{2};
    /// The time that another try takes: a round trip in the region, and the
    /// daemons' own time at both ends.
    duration retry_cost{std::chrono::milliseconds{3}};
};

/// At the daemon beside the instance: whether to reject a request that asks to
/// start at once, which would have to wait for `expected_wait`.
[[nodiscard]] bool
prefers_another(const ask_first_policy& policy, duration expected_wait);

/// An instance that has rejected a request, with the load that it returned.
struct asked_instance {
    host_id host;
    reported_load load;
};

/// Whether the next attempt may queue.
[[nodiscard]] bool may_queue(
    const ask_first_policy& policy, const std::vector<asked_instance>& asked
);

/// The instance of those asked that is expected to answer first; nothing if
/// none was.
[[nodiscard]] std::optional<host_id>
best_asked(const std::vector<asked_instance>& asked);

} // namespace apricotstile::serving

#endif

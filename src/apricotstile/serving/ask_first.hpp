// Decides where a request without a key starts or waits if load reports are
// stale; the router doesn't use it yet. With 60 to 90 daemons that choose, each
// hears from an instance only every few seconds, so several send to the one
// that last looked idle.
//
// A first attempt asks the instance's daemon to start the request at once. A
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

struct instance_to_try {
    host_id host;
    /// Otherwise it is asked to start the request at once.
    bool may_queue{false};
};

/// The instance for the next attempt of a request that the hosts in `asked`
/// have rejected; their candidates have the load that they returned. The only
/// candidate isn't asked. If one that was asked is still the best, others that
/// are no farther are asked; without any, it may queue the request, since
/// asking farther ones isn't worth their price. Nothing if there are no
/// candidates.
[[nodiscard]] std::optional<instance_to_try> choose_instance_to_try(
    const std::vector<candidate>& candidates,
    const std::vector<host_id>& asked,
    const ask_first_policy& ask_policy,
    const choice_policy& policy,
    const choice_request& request,
    instant now,
    random_source& random
);

} // namespace apricotstile::serving

#endif

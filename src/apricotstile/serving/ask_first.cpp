// Compares the expected wait with another try, and the instances asked.

#include <apricotstile/serving/ask_first.hpp>

#include <algorithm>

namespace apricotstile::serving {

namespace {

/// Used if an instance hasn't reported a service time.
constexpr duration default_service_time = std::chrono::milliseconds{50};

duration latency_of(const asked_instance& asked) {
    instance_view view;
    view.load = asked.load;
    return expected_latency(
        view,
        asked.load.mean_service_time > duration{0}
            ? asked.load.mean_service_time
            : default_service_time
    );
}

} // namespace

bool prefers_another(const ask_first_policy& policy, duration expected_wait) {
    return expected_wait > policy.retry_cost;
}

bool may_queue(
    const ask_first_policy& policy, const std::vector<asked_instance>& asked
) {
    return asked.size() >= policy.max_rejections;
}

std::optional<host_id> best_asked(const std::vector<asked_instance>& asked) {
    const auto best = std::min_element(
        asked.begin(),
        asked.end(),
        [](const asked_instance& left, const asked_instance& right) {
            return latency_of(left) < latency_of(right);
        }
    );
    return best == asked.end() ? std::nullopt : std::optional{best->host};
}

} // namespace apricotstile::serving

// Compares the expected wait with another try, and chooses whom to ask.

#include <apricotstile/serving/ask_first.hpp>

#include <algorithm>

namespace apricotstile::serving {

bool prefers_another(const ask_first_policy& policy, duration expected_wait) {
    return expected_wait > policy.retry_cost;
}

std::optional<instance_to_try> choose_instance_to_try(
    const std::vector<candidate>& candidates,
    const std::vector<host_id>& asked,
    const ask_first_policy& ask_policy,
    const choice_policy& policy,
    const choice_request& request,
    instant now,
    random_source& random
) {
    const auto was_asked = [&](host_id host) {
        return std::find(asked.begin(), asked.end(), host) != asked.end();
    };
    const auto choose = [&](const std::vector<candidate>& among) {
        return choose_instance(among, policy, request, now, random);
    };
    if (asked.size() >= ask_policy.max_rejections) {
        std::vector<candidate> heard_from;
        for (const candidate& one : candidates) {
            if (was_asked(one.host)) {
                heard_from.push_back(one);
            }
        }
        const auto chosen =
            choose(heard_from.empty() ? candidates : heard_from);
        return chosen ? std::optional{instance_to_try{*chosen, true}}
                      : std::nullopt;
    }
    const auto chosen = choose(candidates);
    if (!chosen) {
        return std::nullopt;
    }
    if (!was_asked(*chosen)) {
        return instance_to_try{*chosen, candidates.size() == 1};
    }
    const auto asked_one = std::find_if(
        candidates.begin(),
        candidates.end(),
        [&](const candidate& one) {
            return one.host == *chosen;
        }
    );
    std::vector<candidate> others;
    for (const candidate& one : candidates) {
        if (!was_asked(one.host) && one.locality <= asked_one->locality) {
            others.push_back(one);
        }
    }
    const auto other = choose(others);
    return other ? instance_to_try{*other, false}
                 : instance_to_try{*chosen, true};
}

} // namespace apricotstile::serving

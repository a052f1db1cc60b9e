// The order of readers, and the tree by which they pass the configuration on.

#include <apricotstile/routing/config_readers.hpp>

#include <algorithm>

namespace apricotstile::routing {

namespace {

bool is_recent(
    const config_readers& state, const reader_notice& notice, instant now
) {
    return now - notice.received < state.policy.notice_timeout;
}

/// The number of daemons before this one that have announced recently whether
/// they read all changes, with the given result.
std::size_t count_before(
    const config_readers& state,
    const region_order& order,
    bool is_current,
    instant now
) {
    std::size_t count = 0;
    for (std::size_t rank = 0; rank < order.own_rank; ++rank) {
        const auto notice = state.notices.find(order.daemons[rank]);
        const bool counts = notice != state.notices.end() &&
                            is_recent(state, notice->second, now) &&
                            notice->second.is_current == is_current;
        count += counts ? 1 : 0;
    }
    return count;
}

} // namespace

region_order make_region_order(std::vector<host_id> daemons, host_id self) {
    region_order result;
    result.daemons = std::move(daemons);
    std::sort(result.daemons.begin(), result.daemons.end());
    result.own_rank = static_cast<std::size_t>(
        std::lower_bound(result.daemons.begin(), result.daemons.end(), self) -
        result.daemons.begin()
    );
    return result;
}

void note_announcement(
    config_readers& state, host_id reader, const reader_notice& notice
) {
    state.notices[reader] = notice;
}

bool reads_config(
    config_readers& state, const region_order& order, instant now
) {
    const config_reader_policy& policy = state.policy;
    if (order.own_rank < policy.readers) {
        return true;
    }
    if (count_before(state, order, true, now) >= policy.readers) {
        state.too_few_since.reset();
        return false;
    }
    state.too_few_since = state.too_few_since.value_or(now);
    // The daemons before this one are alive, so the store refuses them.
    if (order.own_rank >= policy.max_candidates &&
        count_before(state, order, false, now) >= policy.readers) {
        return false;
    }
    const auto ranks_before =
        static_cast<duration::rep>(order.own_rank - policy.readers);
    return now - *state.too_few_since >=
           policy.takeover_delay + policy.delay_per_rank * ranks_before;
}

bool is_config_current(
    const config_readers& state, config_version own, instant now
) {
    return std::any_of(
        state.notices.begin(),
        state.notices.end(),
        [&](const auto& one) {
            const reader_notice& notice = one.second;
            return notice.is_current && notice.version <= own &&
                   is_recent(state, notice, now);
        }
    );
}

std::optional<host_id>
config_source(const config_reader_policy& policy, const region_order& order) {
    if (order.own_rank < policy.readers) {
        return std::nullopt;
    }
    return order.daemons[(order.own_rank - policy.readers) / policy.fan_out];
}

} // namespace apricotstile::routing

// Assignment of keys to members, and plans for moves between them.

#include <apricotstile/keys/takeover.hpp>

#include <algorithm>
#include <map>

namespace apricotstile::keys {

namespace {

/// The members that may own keys, except for the hosts in `excluded`.
std::vector<key_member> receivers_in(
    const membership_view& view, const std::vector<host_id>& excluded
) {
    std::vector<key_member> result;
    for (const key_member& one : view.members) {
        if (one.may_own &&
            std::find(excluded.begin(), excluded.end(), one.host) ==
                excluded.end()) {
            result.push_back(one);
        }
    }
    return result;
}

std::size_t count_possible_owners(const membership_view& view) {
    return receivers_in(view, {}).size();
}

std::vector<transfer> initial_assignment(const membership_view& view) {
    std::vector<transfer> result;
    const std::vector<key_member> owners = receivers_in(view, {});
    if (owners.empty()) {
        return result;
    }
    const std::vector<key_range> ranges = even_split(owners.size());
    for (std::size_t index = 0; index < ranges.size(); ++index) {
        const key_member& one = owners[index];
        result.push_back({ranges[index], one.host, one.instance, {}});
    }
    return result;
}

bool has_consent_quorum(const watched_lease& lease) {
    return !lease.guardians.empty() &&
           lease.consented.size() >= consent_quorum(lease.guardians.size());
}

/// Owners whose leases have certainly expired or may be revoked.
std::vector<host_id> expired_owners(
    const key_owner& state,
    const takeover_policy& policy,
    const membership_view& view,
    instant now
) {
    const lease_policy& lease = state.policy.lease;
    const duration wait =
        scaled(lease.table_lease_duration, 1.0 + lease.clock_drift) +
        lease.safety_margin +
        policy.delay_per_rank * static_cast<duration::rep>(view.rank);
    const bool has_recent_reads =
        now - state.leases_read_at < state.policy.max_read_gap &&
        now >= state.no_expiry_before;
    std::vector<host_id> result;
    for (const auto& [host, watched] : state.watched_leases) {
        if (result.size() == policy.max_revocations) {
            break;
        }
        const bool is_expired =
            has_recent_reads && now - watched.unchanged_since > wait;
        if (host != state.self && (is_expired || has_consent_quorum(watched)) &&
            owned_key_count(state.map, host) > 0) {
            result.push_back(host);
        }
    }
    return result;
}

/// Selects the receiver of each range: the one with the fewest keys so far.
class receiver_balancer {
public:
    receiver_balancer(const key_owner& state, std::vector<key_member> receivers)
        : receivers(std::move(receivers)) {
        for (const key_member& one : this->receivers) {
            this->keys[one.host] = owned_key_count(state.map, one.host);
        }
    }

    [[nodiscard]] bool empty() const {
        return this->receivers.empty();
    }

    const key_member& next(key_number size) {
        const auto fewest = std::min_element(
            this->receivers.begin(),
            this->receivers.end(),
            [&](const key_member& left, const key_member& right) {
                return this->keys[left.host] < this->keys[right.host];
            }
        );
        this->keys[fewest->host] += size;
        return *fewest;
    }

    /// Splits `range` into pieces that are small enough to be spread evenly
    /// over the receivers.
    [[nodiscard]] std::vector<key_range> split(const key_range& range) const {
        const auto share = static_cast<key_number>(
            key_count / (2 * this->receivers.size() + 2)
        );
        std::vector<key_range> result;
        for (key_number first = range.first; first <= range.last;) {
            const key_number last = std::min(range.last, first + share - 1);
            result.push_back({first, last});
            first = last + 1;
        }
        return result;
    }

private:
    std::vector<key_member> receivers;
    std::map<host_id, std::uint64_t> keys;
};

/// The members that keys are moved to: those with a warm instance, or else all.
/// A cold instance that gets keys gets the requests for them as well.
std::vector<key_member>
move_receivers(const membership_view& view, host_id self) {
    std::vector<key_member> result = receivers_in(view, {self});
    const auto is_cold = [](const key_member& one) {
        return one.cold;
    };
    if (!std::all_of(result.begin(), result.end(), is_cold)) {
        std::erase_if(result, is_cold);
    }
    return result;
}

/// A healthy member with less than half of an even share of the keys, or null.
/// An instance that limits its requests has few keys because of that.
const key_member* find_new_member(
    const key_owner& state,
    const takeover_policy& policy,
    const membership_view& view
) {
    const std::uint64_t even =
        key_count / std::max<std::size_t>(count_possible_owners(view), 1);
    for (const key_member& one : view.members) {
        if (one.host != state.self && one.may_own && !one.limited &&
            one.failure_ratio <= policy.healthy_threshold &&
            owned_key_count(state.map, one.host) < even / 2) {
            return &one;
        }
    }
    return nullptr;
}

/// The members that own the most keys give some to a new one. If all did, they
/// would contend for the map's row.
bool is_donor(
    const key_owner& state,
    const takeover_policy& policy,
    const membership_view& view,
    host_id joined
) {
    const auto precedes_self = [&](const key_member& one) {
        const auto own =
            std::pair{owned_key_count(state.map, state.self), state.self};
        return one.host != joined && one.may_own &&
               std::pair{owned_key_count(state.map, one.host), one.host} > own;
    };
    const auto before =
        std::count_if(view.members.begin(), view.members.end(), precedes_self);
    return static_cast<std::size_t>(before) < policy.max_donors;
}

/// The part of this daemon's keys for a new member, from the end of its largest
/// range.
std::optional<key_range> range_for_new_member(
    const key_owner& state, const takeover_policy& policy, std::size_t members
) {
    const std::vector<owned_range> kept = kept_ranges(state);
    const auto largest = std::max_element(
        kept.begin(),
        kept.end(),
        [](const owned_range& left, const owned_range& right) {
            return size_of(left.keys) < size_of(right.keys);
        }
    );
    if (largest == kept.end()) {
        return std::nullopt;
    }
    std::uint64_t total = 0;
    for (const owned_range& one : kept) {
        total += size_of(one.keys);
    }
    const std::uint64_t even = key_count / members;
    const std::size_t donors = std::min(policy.max_donors, members - 1);
    const auto part =
        static_cast<key_number>(std::min(total / 2, even / donors));
    if (total < even * 2 / 3 || part == 0) {
        return std::nullopt;
    }
    if (part >= size_of(largest->keys)) {
        return policy.moves_whole_ranges && kept.size() > 1
                   ? std::optional{largest->keys}
                   : std::nullopt;
    }
    return key_range{largest->keys.last - part + 1, largest->keys.last};
}

} // namespace

bool may_own_keys(const membership_view& view, host_id host) {
    return std::none_of(
        view.members.begin(),
        view.members.end(),
        [&](const key_member& one) {
            return one.host == host && !one.may_own;
        }
    );
}

ownership_changes plan_takeover(
    const key_owner& state,
    const takeover_policy& policy,
    const membership_view& view,
    instant now
) {
    ownership_changes result;
    if (!state.rows_known || view.members.empty()) {
        return result;
    }
    const duration wait =
        policy.stabilization_delay +
        policy.delay_per_rank * static_cast<duration::rep>(view.rank);
    const bool may_be_held = now < state.no_takeover_of_unowned_before + wait;
    if (state.map.ranges.empty()) {
        if (!may_be_held && now - view.members_unchanged_since >= wait) {
            result.transfers = initial_assignment(view);
        }
        return result;
    }
    const std::vector<host_id> expired =
        expired_owners(state, policy, view, now);
    receiver_balancer receivers{state, receivers_in(view, expired)};
    if (receivers.empty()) {
        return result;
    }
    result.revoked_owners = expired;
    if (!may_be_held) {
        for (const key_range& unowned : unowned_ranges(state.map)) {
            for (const key_range& piece : receivers.split(unowned)) {
                const key_member& receiver = receivers.next(size_of(piece));
                result.transfers.push_back(
                    {piece, receiver.host, receiver.instance, {}}
                );
            }
        }
    }
    for (const owned_range& one : state.map.ranges) {
        if (std::find(expired.begin(), expired.end(), one.owner) ==
            expired.end()) {
            continue;
        }
        for (const key_range& piece : receivers.split(one.keys)) {
            const key_member& receiver = receivers.next(size_of(piece));
            result.transfers.push_back(
                {piece, receiver.host, receiver.instance, {}}
            );
        }
    }
    return result;
}

bool is_failure_outlier(
    const key_owner& state,
    const takeover_policy& policy,
    const membership_view& view
) {
    std::size_t failing = 0;
    bool is_failing = false;
    for (const key_member& one : view.members) {
        if (one.host == state.self) {
            is_failing = one.failure_ratio >= policy.outlier_threshold;
        } else if (one.failure_ratio > policy.healthy_threshold) {
            ++failing;
        }
    }
    return is_failing && failing * 2 < view.members.size() - 1;
}

std::optional<key_move> plan_newcomer_move(
    const key_owner& state,
    const takeover_policy& policy,
    const membership_view& view
) {
    if (!state.releases.empty() || count_possible_owners(view) < 2 ||
        !may_own_keys(view, state.self)) {
        return std::nullopt;
    }
    const key_member* const joined = find_new_member(state, policy, view);
    if (joined == nullptr || !is_donor(state, policy, view, joined->host)) {
        return std::nullopt;
    }
    const auto part =
        range_for_new_member(state, policy, count_possible_owners(view));
    return part ? std::optional{key_move{*part, joined->host}} : std::nullopt;
}

std::optional<host_id> find_much_faster_member(
    const key_owner& state,
    const takeover_policy& policy,
    const membership_view& view
) {
    const auto self = std::find_if(
        view.members.begin(),
        view.members.end(),
        [&](const key_member& one) {
            return one.host == state.self;
        }
    );
    if (self == view.members.end() || self->mean_service_time == duration{0}) {
        return std::nullopt;
    }
    const auto min_keys = static_cast<std::uint64_t>(
        policy.min_slow_share * key_count /
        static_cast<double>(
            std::max<std::size_t>(count_possible_owners(view), 1)
        )
    );
    if (owned_key_count(state.map, state.self) <= min_keys) {
        return std::nullopt;
    }
    const key_member* best = nullptr;
    for (const key_member& one : view.members) {
        const bool is_faster =
            one.mean_service_time > duration{0} &&
            scaled(one.mean_service_time, policy.slow_factor) <
                self->mean_service_time;
        if (is_faster && one.may_own &&
            one.requests_per_slot < policy.max_receiver_requests_per_slot &&
            (best == nullptr || one.requests_per_slot < best->requests_per_slot
            )) {
            best = &one;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->host};
}

std::optional<key_range>
find_keys_to_move(const key_owner& state, const key_load& load, double slots) {
    if (!may_split_ranges(state.map)) {
        return std::nullopt;
    }
    constexpr double min_factor = 0.8;
    constexpr double max_factor = 1.3;
    std::vector<key_range> ranges;
    for (const owned_range& one : kept_ranges(state)) {
        ranges.push_back(one.keys);
    }
    const double wanted = slots / busy_slots(1);
    return keys_with_load(
        load, ranges, wanted * min_factor, wanted * max_factor
    );
}

double kept_load(const key_owner& state, const key_load& load) {
    double total = 0;
    for (const owned_range& one : kept_ranges(state)) {
        total += range_load(load, one.keys);
    }
    return busy_slots(total);
}

std::vector<key_move>
plan_departure(const key_owner& state, const membership_view& view) {
    std::vector<key_move> result;
    receiver_balancer receivers{state, move_receivers(view, state.self)};
    if (receivers.empty()) {
        return result;
    }
    for (const owned_range& one : kept_ranges(state)) {
        for (const key_range& piece : receivers.split(one.keys)) {
            result.push_back({piece, receivers.next(size_of(piece)).host});
        }
    }
    return result;
}

void retarget_releases(key_owner& state, const membership_view& view) {
    receiver_balancer receivers{state, move_receivers(view, state.self)};
    if (receivers.empty()) {
        return;
    }
    for (range_release& one : state.releases) {
        const bool target_is_member = std::any_of(
            view.members.begin(),
            view.members.end(),
            [&](const key_member& other) {
                return other.host == one.target && other.may_own;
            }
        );
        if (!target_is_member) {
            one.target = receivers.next(size_of(one.keys)).host;
        }
    }
}

} // namespace apricotstile::keys

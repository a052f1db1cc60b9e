// The planner row names the member that holds the role, and each renewal raises
// the row's version. A write is conditional on the version that the daemon
// knows, so only one of several concurrent claims succeeds.

#include <apricotstile/assignment/internal/planner_role.hpp>

#include <apricotstile/core/codec.hpp>

namespace apricotstile::assignment::internal {

namespace {

constexpr duration renewal_interval = std::chrono::seconds{1};
constexpr duration holder_timeout = std::chrono::seconds{4};
/// The delay of a claim is random, up to this time per known member, so that
/// few daemons claim at the same moment.
constexpr duration claim_spread_per_member = std::chrono::milliseconds{5};
/// Used if the holder is known to be a former member. Shorter, so that the role
/// is taken over sooner.
constexpr duration urgent_claim_spread_per_member =
    std::chrono::milliseconds{1};

platform::operation_id next_operation_id(planner& planner) {
    planner.last_id = next(planner.last_id);
    return planner.last_id;
}

void read_planner_row(planner& planner, planner_actions& actions) {
    planner.role_operation = next_operation_id(planner);
    actions.emplace_back(platform::read_rows{
        *planner.role_operation, planner_row_key});
}

void write_planner_row(
    planner& planner, instant now, planner_actions& actions
) {
    const platform::row_key key{planner_row_key};
    platform::transaction row_write;
    row_write.conditions.push_back(
        {key, platform::row_version{planner.planner_row_version}}
    );
    row_write.mutations.push_back({key, encode(planner.self)});
    planner.role_operation = next_operation_id(planner);
    planner.renewed_at = now;
    actions.emplace_back(platform::submit_transaction{
        *planner.role_operation, std::move(row_write)});
}

void start_leading(
    planner& planner,
    std::uint64_t planner_row_version,
    planner_actions& actions
) {
    if (planner.role != planner_role::leading) {
        planner.role = planner_role::leading;
        planner.map_current = false;
        planner.needs_ownership_scan = true;
        planner.moves = {};
        planner.first_seen.clear();
    }
    planner.planner_row_version = planner_row_version;
    planner.holder = planner.self;
    actions.emplace_back(announce_planner{planner_row_version, planner.self});
}

void return_to_waiting(planner& planner, instant now) {
    planner.role = planner_role::waiting;
    planner.claim_at.reset();
    planner.renewal_seen_at = now;
    planner.role_operation.reset();
    planner.pending_transaction.reset();
    planner.map_current = false;
    planner.map = {};
    // The ids of reads that are still in flight must not be reused.
    const platform::operation_id last_id = planner.reader.last_id;
    planner.reader = {};
    planner.reader.last_id = last_id;
}

bool is_eligible(const planner& planner) {
    const auto found = planner.members.find(planner.self.host);
    return found != planner.members.end() &&
           found->second.self == planner.self &&
           found->second.state == member::member_state::active;
}

bool holder_is_former_member(const planner& planner) {
    return planner.holder != member::member_ref{} &&
           is_former_member(planner.members, planner.holder);
}

void schedule_claim(planner& planner, instant now, random_source& random) {
    const bool holder_gone = holder_is_former_member(planner);
    const bool holder_silent = now - *planner.renewal_seen_at >= holder_timeout;
    if (planner.claim_at || !(holder_gone || holder_silent)) {
        return;
    }
    const auto members = static_cast<std::int64_t>(planner.members.size());
    const duration spread_per_member =
        holder_gone ? urgent_claim_spread_per_member : claim_spread_per_member;
    const duration spread = spread_per_member * (members + 1);
    const auto delay =
        random_below(random, static_cast<std::uint64_t>(spread.count()));
    planner.claim_at = now + duration{static_cast<std::int64_t>(delay)};
}

void renew_if_due(planner& planner, instant now, planner_actions& actions) {
    const bool due = now - planner.renewed_at >= renewal_interval;
    if (due && !planner.role_operation) {
        write_planner_row(planner, now, actions);
    }
}

} // namespace

void advance_role(
    planner& planner,
    instant now,
    random_source& random,
    planner_actions& actions
) {
    if (!planner.renewal_seen_at) {
        planner.renewal_seen_at = now;
    }
    if (!is_eligible(planner)) {
        if (planner.role != planner_role::waiting) {
            return_to_waiting(planner, now);
        }
        return;
    }
    if (planner.role == planner_role::leading) {
        renew_if_due(planner, now, actions);
        return;
    }
    if (planner.role != planner_role::waiting) {
        return;
    }
    schedule_claim(planner, now, random);
    if (planner.claim_at && now >= *planner.claim_at) {
        planner.claim_at.reset();
        planner.role = planner_role::reading;
        read_planner_row(planner, actions);
    }
}

bool handle_role_result(
    planner& planner,
    const platform::transaction_done& result,
    instant now,
    planner_actions& actions
) {
    if (planner.role_operation != result.id) {
        return false;
    }
    planner.role_operation.reset();
    switch (result.result.status) {
    case platform::commit_status::committed:
        start_leading(planner, result.result.versions.at(0).value, actions);
        break;
    case platform::commit_status::unknown:
        read_planner_row(planner, actions);
        break;
    case platform::commit_status::conflict:
        return_to_waiting(planner, now);
        break;
    case platform::commit_status::unavailable:
        if (planner.role == planner_role::claiming) {
            return_to_waiting(planner, now);
        }
        break;
    }
    return true;
}

bool handle_role_result(
    planner& planner,
    const platform::rows_read& result,
    instant now,
    planner_actions& actions
) {
    if (planner.role_operation != result.id) {
        return false;
    }
    planner.role_operation.reset();
    if (!result.result.answered) {
        if (planner.role != planner_role::leading) {
            return_to_waiting(planner, now);
        }
        return true;
    }
    std::uint64_t planner_row_version = 0;
    member::member_ref holder;
    for (const platform::row& one : result.result.rows) {
        if (one.key.value == planner_row_key) {
            planner_row_version = one.version.value;
            holder = decode<member::member_ref>(one.value);
        }
    }
    const bool is_own = planner_row_version != 0 && holder == planner.self;
    if (planner.role != planner_role::reading) {
        // The read shows whether a write whose response was lost took effect.
        if (is_own) {
            start_leading(planner, planner_row_version, actions);
        } else {
            return_to_waiting(planner, now);
        }
        return true;
    }
    const bool renewed = planner_row_version > planner.planner_row_version &&
                         !is_former_member(planner.members, holder);
    planner.planner_row_version = planner_row_version;
    planner.holder = holder;
    if (renewed && !is_own) {
        return_to_waiting(planner, now);
        return true;
    }
    planner.role = planner_role::claiming;
    write_planner_row(planner, now, actions);
    return true;
}

void observe_planner(
    planner& planner,
    std::uint64_t planner_row_version,
    const member::member_ref& holder,
    instant now
) {
    if (planner_row_version <= planner.planner_row_version) {
        return;
    }
    if (holder == planner.self) {
        return;
    }
    planner.planner_row_version = planner_row_version;
    planner.holder = holder;
    planner.renewal_seen_at = now;
    planner.claim_at.reset();
    if (planner.role == planner_role::leading) {
        return_to_waiting(planner, now);
    }
}

} // namespace apricotstile::assignment::internal

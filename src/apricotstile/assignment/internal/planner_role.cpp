// The row holds the planner's member; its version is the beat. A daemon
// claims the row only from the version it knows, so one of several wins.

#include <apricotstile/assignment/internal/planner_role.hpp>

#include <apricotstile/core/codec.hpp>

namespace apricotstile::assignment::internal {

namespace {

constexpr duration renew_interval = std::chrono::seconds{1};
constexpr duration silence_limit = std::chrono::seconds{4};
/// Claims are spread over this for each known member, less when the holder
/// is known to be lost: time counts then.
constexpr duration claim_spread_per_member = std::chrono::milliseconds{5};
constexpr duration lost_spread_per_member = std::chrono::milliseconds{1};

platform::operation_id new_id(planner& planner) {
    planner.last_id = next(planner.last_id);
    return planner.last_id;
}

void read_row(planner& planner, planner_actions& actions) {
    planner.role_operation = new_id(planner);
    actions.emplace_back(platform::read_rows{
        *planner.role_operation, planner_row});
}

void write_row(planner& planner, instant now, planner_actions& actions) {
    const platform::row_key key{planner_row};
    platform::transaction work;
    work.conditions.push_back({key, platform::row_version{planner.beat}});
    work.mutations.push_back({key, encode(planner.self)});
    planner.role_operation = new_id(planner);
    planner.renewed_at = now;
    actions.emplace_back(platform::submit_transaction{
        *planner.role_operation, std::move(work)});
}

void lead(planner& planner, std::uint64_t beat, planner_actions& actions) {
    if (planner.role != planner_role::leading) {
        planner.role = planner_role::leading;
        planner.map_current = false;
        planner.ownership_changed = true;
        planner.moves = {};
        planner.first_seen.clear();
    }
    planner.beat = beat;
    planner.holder = planner.self;
    actions.emplace_back(announce_planner{beat, planner.self});
}

void follow(planner& planner, instant now) {
    planner.role = planner_role::waiting;
    planner.claim_at.reset();
    planner.heard_at = now;
    planner.role_operation.reset();
    planner.sent.reset();
    planner.map_current = false;
    planner.map = {};
    // Ids of reads still in flight must not come up again.
    const platform::operation_id last_id = planner.reader.last_id;
    planner.reader = {};
    planner.reader.last_id = last_id;
}

bool may_plan(const planner& planner) {
    const auto found = planner.members.find(planner.self.host);
    return found != planner.members.end() &&
           found->second.self == planner.self &&
           found->second.state == member::member_state::active;
}

bool holder_is_lost(const planner& planner) {
    return planner.holder != member::member_ref{} &&
           is_former_member(planner.members, planner.holder);
}

void schedule_claim(planner& planner, instant now, random_source& random) {
    const bool lost = holder_is_lost(planner);
    const bool silent = now - *planner.heard_at >= silence_limit;
    if (planner.claim_at || !(lost || silent)) {
        return;
    }
    const auto members = static_cast<std::int64_t>(planner.members.size());
    const duration spread_per_member =
        lost ? lost_spread_per_member : claim_spread_per_member;
    const duration spread = spread_per_member * (members + 1);
    const auto delay =
        random_below(random, static_cast<std::uint64_t>(spread.count()));
    planner.claim_at = now + duration{static_cast<std::int64_t>(delay)};
}

void renew_if_due(planner& planner, instant now, planner_actions& actions) {
    const bool due = now - planner.renewed_at >= renew_interval;
    if (due && !planner.role_operation) {
        write_row(planner, now, actions);
    }
}

} // namespace

void advance_role(
    planner& planner,
    instant now,
    random_source& random,
    planner_actions& actions
) {
    if (!planner.heard_at) {
        planner.heard_at = now;
    }
    if (!may_plan(planner)) {
        if (planner.role != planner_role::waiting) {
            follow(planner, now);
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
        read_row(planner, actions);
    }
}

bool take_role_result(
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
        lead(planner, result.result.versions.at(0).value, actions);
        break;
    case platform::commit_status::unknown:
        read_row(planner, actions);
        break;
    case platform::commit_status::conflict:
        follow(planner, now);
        break;
    case platform::commit_status::unavailable:
        if (planner.role == planner_role::claiming) {
            follow(planner, now);
        }
        break;
    }
    return true;
}

bool take_role_result(
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
            follow(planner, now);
        }
        return true;
    }
    std::uint64_t beat = 0;
    member::member_ref holder;
    for (const platform::row& one : result.result.rows) {
        if (one.key.value == planner_row) {
            beat = one.version.value;
            holder = decode<member::member_ref>(one.value);
        }
    }
    const bool mine = beat != 0 && holder == planner.self;
    if (planner.role != planner_role::reading) {
        // Settles a write of ours whose answer was lost.
        if (mine) {
            lead(planner, beat, actions);
        } else {
            follow(planner, now);
        }
        return true;
    }
    const bool renewed =
        beat > planner.beat && !is_former_member(planner.members, holder);
    planner.beat = beat;
    planner.holder = holder;
    if (renewed && !mine) {
        follow(planner, now);
        return true;
    }
    planner.role = planner_role::claiming;
    write_row(planner, now, actions);
    return true;
}

void note_beat(
    planner& planner,
    std::uint64_t beat,
    const member::member_ref& holder,
    instant now
) {
    if (beat <= planner.beat) {
        return;
    }
    if (holder == planner.self) {
        return;
    }
    planner.beat = beat;
    planner.holder = holder;
    planner.heard_at = now;
    planner.claim_at.reset();
    if (planner.role == planner_role::leading) {
        follow(planner, now);
    }
}

} // namespace apricotstile::assignment::internal

// Event handling of the owner. The order of a release: stop dispatching, wait
// for requests in flight, read the rows, submit the release, learn its outcome.

#include <apricotstile/assignment/owner.hpp>

#include <apricotstile/assignment/internal/owned_ranges.hpp>
#include <apricotstile/assignment/internal/owner_moves.hpp>
#include <apricotstile/assignment/internal/release_settling.hpp>
#include <apricotstile/assignment/owner_lookup.hpp>
#include <apricotstile/assignment/set_owner.hpp>

#include <algorithm>

namespace apricotstile::assignment {

namespace {

constexpr duration conflict_retry_delay = 100ms;
constexpr duration outage_retry_delay = 500ms;
/// A release that isn't answered for this long is settled by a read. Its answer
/// may be lost, and the next owner waits for the record of requests.
constexpr duration release_answer_timeout = 300ms;

using internal::complete_release;

void report_all_released(
    owner_state& owner, const assignment_map& map, owner_actions& actions
) {
    if (!owner.leaving_since || owner.told_all_released || owner.sent) {
        return;
    }
    const auto owned = internal::owned_ranges(map, owner.self);
    const bool owns_some =
        std::any_of(owned.begin(), owned.end(), [&](const auto& one) {
            return internal::is_served(owner, map, one.range);
        });
    if (!owns_some) {
        owner.told_all_released = true;
        actions.emplace_back(all_released{});
    }
}

std::vector<range_id> drained_ranges(const owner_state& owner) {
    std::vector<range_id> ranges;
    std::set<chunk_id> chunks;
    for (const auto& [range, release] : owner.releases) {
        if (release.phase == release_phase::drained) {
            chunks.insert(chunk_of(range));
            if (chunks.size() > max_chunks_per_release) {
                break;
            }
            ranges.push_back(range);
        }
    }
    return ranges;
}

void read_chunks_of(
    owner_state& owner,
    const std::vector<range_id>& ranges,
    instant now,
    owner_actions& actions
) {
    std::set<chunk_id> wanted;
    for (const range_id& range : ranges) {
        wanted.insert(chunk_of(range));
    }
    owner.read_requested_at = now;
    for (auto& one : start_reading(owner.reader, std::move(wanted))) {
        actions.emplace_back(std::move(one));
    }
}

bool may_read(const owner_state& owner, instant now) {
    return owner.reader.status != reader_status::reading &&
           now >= owner.retry_at;
}

/// Starts the reads that the next release needs, or those that tell the outcome
/// of a release whose answer was lost.
void read_if_needed(owner_state& owner, instant now, owner_actions& actions) {
    if (!may_read(owner, now)) {
        return;
    }
    if (owner.sent) {
        if (now - owner.sent->submitted_at >= release_answer_timeout) {
            owner.sent->outcome_unknown = true;
        }
        if (owner.sent->outcome_unknown) {
            read_chunks_of(owner, owner.sent->ranges, now, actions);
        }
        return;
    }
    const auto ranges = drained_ranges(owner);
    if (!ranges.empty()) {
        read_chunks_of(owner, ranges, now, actions);
    }
}

/// Whether the rows read still allow the release.
bool is_releasable(const owner_state& owner, const range_id& range) {
    const auto& release = owner.releases.at(range);
    const auto* stored = find_range(owner.reader.rows, range);
    if (stored == nullptr || stored->owner != owner.self ||
        stored->token != release.token) {
        return false;
    }
    const bool unplanned = stored->next_owner == member::member_ref{};
    return stored->next_owner == release.to ||
           (unplanned && release.target_chosen_here);
}

/// The token that `change` assigns to the range's owner. Zero for a key that
/// goes back to its slice.
fencing_token assigned_token(const map_change& change, const range_id& range) {
    fencing_token result;
    for (const service_change& service : change.services) {
        if (service.service != range.service) {
            continue;
        }
        for (const slice_change& one : service.slices) {
            if (range.key.empty() && one.slice == range.slice) {
                result = one.assignment.token;
            }
        }
        for (const key_change& one : service.keys) {
            if (one.key == range.key && one.assignment) {
                result = one.assignment->token;
            }
        }
    }
    return result;
}

void submit_release(owner_state& owner, instant now, owner_actions& actions) {
    release_transaction sent;
    sent.change.version = next(owner.reader.rows.head.version);
    for (const range_id& range : drained_ranges(owner)) {
        const bool was_read =
            owner.reader.wanted_chunks.contains(chunk_of(range));
        if (was_read && is_releasable(owner, range)) {
            range_release& release = owner.releases.at(range);
            release.phase = release_phase::releasing;
            set_owner(sent.change, owner.reader.rows, range, release.to);
            release.next_token = assigned_token(sent.change, range);
            sent.ranges.push_back(range);
        }
    }
    if (sent.ranges.empty()) {
        // The follower's map will show how the moves ended.
        owner.retry_at = now + outage_retry_delay;
        return;
    }
    owner.last_id = next(owner.last_id);
    sent.id = owner.last_id;
    sent.head_row_version = owner.reader.rows.head_row_version;
    sent.submitted_at = now;
    actions.emplace_back(platform::submit_transaction{
        sent.id, prepare_change(owner.reader.rows, sent.change)});
    owner.sent = std::move(sent);
}

void complete_transaction(owner_state& owner, owner_actions& actions) {
    for (const range_id& range : owner.sent->ranges) {
        const auto found = owner.releases.find(range);
        if (found != owner.releases.end()) {
            const range_release release = found->second;
            complete_release(owner, range);
            actions.emplace_back(range_released{
                range, release.to, release.next_token});
        }
    }
    owner.sent.reset();
}

/// The release certainly had no effect and won't have any, so it may be
/// retried.
void abort_transaction(owner_state& owner) {
    for (const range_id& range : owner.sent->ranges) {
        const auto found = owner.releases.find(range);
        if (found != owner.releases.end()) {
            found->second.phase = release_phase::drained;
        }
    }
    owner.sent.reset();
}

void retry_later(
    owner_state& owner, instant now, duration max_delay, random_source& random
) {
    const auto delay =
        random_below(random, static_cast<std::uint64_t>(max_delay.count()));
    owner.retry_at = now + duration{static_cast<std::int64_t>(delay)};
}

/// Reports whether a range that was reassigned belongs to another member now
/// or, under a newer token, to this member again.
void report_reassigned(
    const owner_state& owner,
    const range_id& range,
    const range_release& release,
    owner_actions& actions
) {
    const auto* stored = find_range(owner.reader.rows, range);
    if (stored != nullptr && stored->owner == owner.self) {
        actions.emplace_back(resume_dispatching{range});
    } else {
        actions.emplace_back(range_released{
            range, release.to, release.next_token});
    }
}

/// Determines the outcome of a release whose answer was lost from the rows just
/// read.
void resolve_lost_answer(
    owner_state& owner, instant now, owner_actions& actions
) {
    if (!internal::is_outcome_final(owner)) {
        owner.retry_at = now + outage_retry_delay;
        return;
    }
    for (const range_id& range : owner.sent->ranges) {
        const auto found = owner.releases.find(range);
        if (found == owner.releases.end()) {
            continue;
        }
        if (internal::is_reassigned(owner, range)) {
            const range_release release = found->second;
            complete_release(owner, range);
            report_reassigned(owner, range, release, actions);
        } else {
            found->second.phase = release_phase::drained;
        }
    }
    owner.sent.reset();
}

void update_planned_target(
    owner_state& owner,
    const range_id& range,
    const slice_assignment* assignment
) {
    const bool planned = assignment != nullptr &&
                         assignment->owner == owner.self &&
                         assignment->next_owner != member::member_ref{};
    if (planned) {
        owner.planned_targets[range] = assignment->next_owner;
    } else {
        owner.planned_targets.erase(range);
        owner.refused.erase(range);
    }
}

void rebuild_planned_targets(owner_state& owner, const assignment_map& map) {
    owner.planned_targets.clear();
    for (const auto& one : internal::owned_ranges(map, owner.self)) {
        update_planned_target(owner, one.range, &one.assignment);
    }
    std::erase_if(owner.refused, [&](const auto& one) {
        return !owner.planned_targets.contains(one.first);
    });
}

void update_changed_targets(
    owner_state& owner, const assignment_map& map, const map_change& change
) {
    for (const range_id& range : internal::ranges_of(change)) {
        update_planned_target(owner, range, find_range(map, range));
    }
}

void advance(
    owner_state& owner,
    const assignment_map& map,
    instant now,
    owner_actions& actions
) {
    internal::update_moves(owner, map, now, actions);
    read_if_needed(owner, now, actions);
    report_all_released(owner, map, actions);
}

struct owner_event_handler {
    owner_state& owner;
    const assignment_map& map;
    instant now;
    random_source& random;
    owner_actions actions;

    void operator()(const owner_tick& /*tick*/) {
        advance(this->owner, this->map, this->now, this->actions);
    }

    void operator()(const owner_map_changed& event) {
        if (event.changes.empty()) {
            rebuild_planned_targets(this->owner, this->map);
        }
        for (const map_change& change : event.changes) {
            update_changed_targets(this->owner, this->map, change);
        }
        advance(this->owner, this->map, this->now, this->actions);
    }

    void operator()(const range_drained& event) {
        const auto found = this->owner.releases.find(event.range);
        const bool expected = found != this->owner.releases.end() &&
                              found->second.attempt == event.attempt &&
                              found->second.phase == release_phase::draining;
        if (!expected) {
            return;
        }
        found->second.phase = release_phase::drained;
        this->actions.emplace_back(hand_over_range{
            event.range, found->second.to});
        read_if_needed(this->owner, this->now, this->actions);
    }

    void operator()(const leave_requested& /*event*/) {
        if (!this->owner.leaving_since) {
            this->owner.leaving_since = this->now;
        }
        this->owner.refused.clear();
        advance(this->owner, this->map, this->now, this->actions);
    }

    void operator()(const owner_members_changed& event) {
        this->owner.members = event.members;
    }

    void operator()(const platform::transaction_done& event) {
        auto& sent = this->owner.sent;
        if (!sent || sent->id != event.id || sent->outcome_unknown) {
            return;
        }
        switch (event.result.status) {
        case platform::commit_status::committed:
            // Before the commit another change could have taken this version.
            this->actions.emplace_back(share_change{sent->change});
            complete_transaction(this->owner, this->actions);
            break;
        case platform::commit_status::conflict:
            abort_transaction(this->owner);
            retry_later(
                this->owner, this->now, conflict_retry_delay, this->random
            );
            break;
        case platform::commit_status::unavailable:
            abort_transaction(this->owner);
            retry_later(
                this->owner, this->now, outage_retry_delay, this->random
            );
            break;
        case platform::commit_status::unknown:
            sent->outcome_unknown = true;
            break;
        }
        read_if_needed(this->owner, this->now, this->actions);
    }

    void operator()(const platform::rows_read& event) {
        if (this->owner.reader.status != reader_status::reading) {
            return;
        }
        for (auto& one : take_rows(this->owner.reader, event)) {
            this->actions.emplace_back(std::move(one));
        }
        if (this->owner.reader.status == reader_status::failed) {
            this->owner.retry_at = this->now + outage_retry_delay;
            return;
        }
        if (this->owner.reader.status == reader_status::reading) {
            return;
        }
        if (!this->owner.sent) {
            submit_release(this->owner, this->now, this->actions);
        } else if (this->owner.sent->outcome_unknown) {
            resolve_lost_answer(this->owner, this->now, this->actions);
        }
    }
};

} // namespace

owner_actions step(
    owner_state& owner,
    const assignment_map& map,
    const owner_event& event,
    instant now,
    random_source& random
) {
    owner_event_handler handler{owner, map, now, random, {}};
    std::visit(handler, event);
    return std::move(handler.actions);
}

} // namespace apricotstile::assignment

// A scan of the map finds ranges without an owner; the move queue supplies the
// moves.

#include <apricotstile/assignment/internal/planning.hpp>

#include <apricotstile/assignment/owner_lookup.hpp>
#include <apricotstile/assignment/set_owner.hpp>
#include <apricotstile/core/hashing.hpp>

#include <algorithm>
#include <limits>

namespace apricotstile::assignment::internal {

namespace {

constexpr std::size_t max_entries_per_change = 16'384;
constexpr std::size_t max_chunks_per_change = 128;
/// Time limit of a move. Longer than the owner's own limit for draining, so
/// that the owner serves the range again before the planner cancels the move.
constexpr duration move_timeout = std::chrono::seconds{15};

std::map<service_id, std::uint32_t> announced_services(const planner& planner) {
    std::map<service_id, std::uint32_t> announced;
    for (const auto& [host, record] : planner.members) {
        for (const member::served_service& one : record.services) {
            const bool usable = record.state == member::member_state::active;
            if (usable && one.slice_count > 0) {
                announced.emplace(one.service, one.slice_count);
            }
        }
    }
    return announced;
}

/// Tells whether a range lacks an owner: it has none, or the owner is a former
/// member. Caches the result for each owner, since many ranges share one.
struct owner_check {
    const planner& state;
    std::map<member::member_ref, bool> cached;

    bool operator()(const member::member_ref& owner) {
        if (owner == member::member_ref{}) {
            return true;
        }
        const auto found = this->cached.find(owner);
        if (found != this->cached.end()) {
            return found->second;
        }
        const bool lacks_owner = is_former_member(this->state.members, owner);
        this->cached.emplace(owner, lacks_owner);
        return lacks_owner;
    }
};

bool accepts_ranges(const planner& planner, const member::member_ref& ref) {
    const auto found = planner.members.find(ref.host);
    return found != planner.members.end() && found->second.self == ref &&
           found->second.state == member::member_state::active;
}

bool is_leaving(const planner& planner, const member::member_ref& ref) {
    const auto found = planner.members.find(ref.host);
    return found != planner.members.end() && found->second.self == ref &&
           found->second.state == member::member_state::draining;
}

struct ownership_scan {
    planner& state;
    change_builder& builder;
    instant now;
    owner_check lacks_owner;
    std::vector<range_with_load> unowned_ranges;
    bool complete{true};

    bool reserve_or_defer(const range_id& range) {
        const bool reserved = reserve_slice(this->builder, range);
        this->complete = this->complete && reserved;
        return reserved;
    }

    /// Handles a range that has an owner: cancels a planned move whose target
    /// can't accept it, resumes any other planned move, and queues a move if
    /// the owner is leaving.
    void check_planned_move(
        const range_id& range, const slice_assignment& assignment
    ) {
        const bool planned = assignment.next_owner != member::member_ref{};
        if (planned && !accepts_ranges(this->state, assignment.next_owner)) {
            if (this->reserve_or_defer(range)) {
                set_next_owner(
                    this->builder.change, this->state.reader.rows, range, {}
                );
                end_move(this->state.moves, range, false, this->now);
            }
            return;
        }
        if (planned) {
            this->state.moves.active.try_emplace(
                range,
                active_move{
                    range, assignment.owner, assignment.next_owner, this->now}
            );
            return;
        }
        if (is_leaving(this->state, assignment.owner)) {
            const double load = load_of(this->state.load, range);
            add_pending(
                this->state.moves, {range, assignment.owner, load, true}
            );
        }
    }

    void
    check_slice(const range_id& range, const slice_assignment& assignment) {
        if (!this->lacks_owner(assignment.owner)) {
            this->check_planned_move(range, assignment);
            return;
        }
        if (this->reserve_or_defer(range)) {
            this->unowned_ranges.push_back(
                {range, load_of(this->state.load, range)}
            );
        }
    }

    void check_key(
        const range_id& range,
        const slice_assignment& assignment,
        const slice_assignment& slice
    ) {
        const bool planned = assignment.next_owner != member::member_ref{};
        const bool redundant = assignment.owner == slice.owner && !planned;
        if (redundant || this->lacks_owner(assignment.owner)) {
            // The slice must have an owner before the key can return to it.
            const bool slice_lacks_owner = this->lacks_owner(slice.owner);
            this->complete = this->complete && !slice_lacks_owner;
            if (!slice_lacks_owner && this->reserve_or_defer(range)) {
                end_exception(
                    this->builder.change, this->state.reader.rows, range
                );
            }
            return;
        }
        this->check_planned_move(range, assignment);
    }
};

void place_unowned_ranges(ownership_scan& scan) {
    if (scan.unowned_ranges.empty()) {
        return;
    }
    load_distribution distribution =
        current_load_distribution(scan.state, scan.now);
    const auto placed =
        place_ranges(distribution, std::move(scan.unowned_ranges));
    for (const placed_range& one : placed) {
        set_owner(
            scan.builder.change, scan.state.reader.rows, one.range, one.to
        );
        end_move(scan.state.moves, one.range, false, scan.now);
    }
}

std::vector<move_target> move_targets_for(
    const planner& planner,
    const load_distribution& distribution,
    const service_id& service
) {
    std::vector<move_target> targets;
    const double limit =
        distribution.mean_load * (1.0 + imbalance_tolerance(planner.weights));
    for (const member_load& one : distribution.members) {
        const auto capacity = one.capacity.find(service);
        if (one.accepts_ranges && capacity != one.capacity.end()) {
            targets.push_back(
                {one.self, one.load, limit, 1.0 / capacity->second}
            );
        }
    }
    return targets;
}

/// Whether `move.from` still owns the range and no move of it is planned. A key
/// without an exception is owned by the owner of its slice.
bool is_movable(const planner& planner, const active_move& move) {
    const auto* found = find_range(planner.reader.rows, move.range);
    if (found == nullptr) {
        const auto* slice = find_range(
            planner.reader.rows, {move.range.service, move.range.slice, {}}
        );
        return slice != nullptr && slice->owner == move.from &&
               slice->next_owner == member::member_ref{};
    }
    return found->owner == move.from &&
           found->next_owner == member::member_ref{};
}

} // namespace

bool reserve_slice(change_builder& builder, const range_id& range) {
    const range_id slice{range.service, range.slice, {}};
    const chunk_id chunk = chunk_of(range);
    const bool chunk_known = builder.chunks.contains(chunk);
    const bool full =
        builder.entries >= max_entries_per_change ||
        (!chunk_known && builder.chunks.size() >= max_chunks_per_change);
    if (full || !builder.reserved_slices.insert(slice).second) {
        return false;
    }
    builder.chunks.insert(chunk);
    ++builder.entries;
    return true;
}

void add_new_services(planner& planner, change_builder& builder, instant now) {
    for (const auto& [service, count] : announced_services(planner)) {
        if (planner.map.services.contains(service)) {
            continue;
        }
        std::vector<range_with_load> ranges;
        for (std::uint32_t i = 0; i < count; ++i) {
            ranges.push_back(
                {{service, slice_id{i}, {}}, default_base_slice_load}
            );
        }
        load_distribution distribution =
            current_load_distribution(planner, now);
        static_cast<void>(change_of(builder.change, service, count));
        for (const auto& one : place_ranges(distribution, std::move(ranges))) {
            set_assignment(
                builder.change, one.range, count, {one.to, fencing_token{1}, {}}
            );
        }
        // One service per change, so that the placement of the next service
        // takes the load of this one into account.
        return;
    }
}

bool repair_ownership(planner& planner, change_builder& builder, instant now) {
    ownership_scan scan{planner, builder, now, {planner, {}}, {}};
    for (const auto& [service, assigned] : planner.map.services) {
        range_id range{service, {}, {}};
        const auto count = static_cast<std::uint32_t>(assigned.slices.size());
        for (std::uint32_t i = 0; i < count; ++i) {
            range.slice.value = i;
            scan.check_slice(range, assigned.slices[i]);
        }
        for (const key_exception& one : assigned.exceptions) {
            const slice_id slice = slice_of(one.key, count);
            scan.check_key(
                {service, slice, one.key},
                one.assignment,
                assigned.slices[slice.value]
            );
        }
    }
    place_unowned_ranges(scan);
    return scan.complete;
}

void end_finished_moves(
    planner& planner, change_builder& builder, instant now
) {
    std::vector<active_move> ended;
    for (const auto& [range, move] : planner.moves.active) {
        const auto* found = find_range(planner.map, range);
        const bool still_planned = found != nullptr &&
                                   found->owner == move.from &&
                                   found->next_owner == move.to;
        if (!still_planned || now - move.bound_at >= move_timeout) {
            ended.push_back(move);
        }
    }
    for (const active_move& move : ended) {
        const auto* found = find_range(planner.map, move.range);
        const bool finished = found != nullptr && found->owner == move.to;
        const bool overdue = found != nullptr && found->owner == move.from &&
                             found->next_owner == move.to;
        if (!overdue) {
            end_move(planner.moves, move.range, finished, now);
        } else if (reserve_slice(builder, move.range)) {
            set_next_owner(builder.change, planner.reader.rows, move.range, {});
            end_move(planner.moves, move.range, false, now);
            planner.needs_ownership_scan = true;
        }
    }
}

void bind_pending_moves(
    planner& planner, change_builder& builder, instant now
) {
    if (planner.moves.pending.empty()) {
        return;
    }
    const load_distribution distribution =
        current_load_distribution(planner, now);
    for (const auto& [service, assigned] : planner.map.services) {
        const auto bound = bind_moves(
            planner.moves,
            service,
            move_targets_for(planner, distribution, service),
            planner.limits,
            now
        );
        for (const active_move& move : bound) {
            if (is_movable(planner, move) &&
                reserve_slice(builder, move.range)) {
                set_next_owner(
                    builder.change, planner.reader.rows, move.range, move.to
                );
            } else {
                end_move(planner.moves, move.range, false, now);
                planner.needs_ownership_scan = true;
            }
        }
    }
}

void return_cooled_keys(
    planner& planner, change_builder& builder, instant now
) {
    for (const range_id& range : planner.cooled_exceptions) {
        const auto* key = find_range(planner.map, range);
        const auto* slice =
            find_range(planner.map, {range.service, range.slice, {}});
        const bool movable = key != nullptr && slice != nullptr &&
                             key->next_owner == member::member_ref{} &&
                             slice->next_owner == member::member_ref{} &&
                             key->owner != slice->owner &&
                             accepts_ranges(planner, slice->owner);
        if (movable && reserve_slice(builder, range)) {
            const active_move move{range, key->owner, slice->owner, now};
            planner.moves.active.insert_or_assign(range, move);
            set_next_owner(
                builder.change, planner.reader.rows, range, slice->owner
            );
        }
    }
    planner.cooled_exceptions.clear();
}

load_distribution
current_load_distribution(const planner& planner, instant now) {
    return compute_load_distribution(
        planner.members, planner.first_seen, planner.map, planner.load, now
    );
}

} // namespace apricotstile::assignment::internal

// A slice and its exceptions share one increasing sequence of tokens, since an
// upstream keeps one token per slice.

#include <apricotstile/assignment/set_owner.hpp>

#include <apricotstile/core/hashing.hpp>

#include <algorithm>

namespace apricotstile::assignment {

namespace {

std::uint32_t
slice_count_of(const map_rows& stored, const service_id& service) {
    const auto found = stored.head.services.find(service);
    return found == stored.head.services.end() ? 0 : found->second.slice_count;
}

range_id slice_range(const range_id& range) {
    return {range.service, range.slice, {}};
}

slice_assignment stored_slice(const map_rows& stored, const range_id& range) {
    const auto* found = find_range(stored, slice_range(range));
    return found == nullptr ? slice_assignment{} : *found;
}

fencing_token highest_token(const map_rows& stored, const range_id& range) {
    fencing_token highest = stored_slice(stored, range).token;
    for (const auto& one : exceptions_of(stored, range.service, range.slice)) {
        highest = std::max(highest, one.assignment.token);
    }
    return highest;
}

void erase_key(
    map_change& change, const map_rows& stored, const range_id& range
) {
    const std::uint32_t count = slice_count_of(stored, range.service);
    change_of(change, range.service, count)
        .keys.push_back({range.key, std::nullopt});
}

/// Removes exceptions whose keys belong to `owner`, which now owns the slice
/// too. Those with a planned move stay.
void remove_redundant_exceptions(
    map_change& change,
    const map_rows& stored,
    const range_id& range,
    const member::member_ref& owner
) {
    for (const auto& one : exceptions_of(stored, range.service, range.slice)) {
        const bool redundant =
            one.assignment.owner == owner &&
            one.assignment.next_owner == member::member_ref{};
        if (redundant) {
            erase_key(change, stored, {range.service, range.slice, one.key});
        }
    }
}

} // namespace

std::vector<key_exception> exceptions_of(
    const map_rows& stored, const service_id& service, slice_id slice
) {
    const auto found = stored.chunks.find(chunk_of({service, slice, {}}));
    if (found == stored.chunks.end()) {
        return {};
    }
    const std::uint32_t count = slice_count_of(stored, service);
    std::vector<key_exception> result;
    for (const key_exception& one : found->second.chunk.exceptions) {
        if (slice_of(one.key, count) == slice) {
            result.push_back(one);
        }
    }
    return result;
}

void set_owner(
    map_change& change,
    const map_rows& stored,
    const range_id& range,
    const member::member_ref& to
) {
    const std::uint32_t count = slice_count_of(stored, range.service);
    const slice_assignment slice = stored_slice(stored, range);
    const fencing_token token = next(highest_token(stored, range));
    if (range.key.empty()) {
        set_assignment(change, range, count, {to, token, {}});
        remove_redundant_exceptions(change, stored, range, to);
        return;
    }
    if (slice.owner == to) {
        end_exception(change, stored, range);
        return;
    }
    set_assignment(change, range, count, {to, token, {}});
}

void end_exception(
    map_change& change, const map_rows& stored, const range_id& range
) {
    const std::uint32_t count = slice_count_of(stored, range.service);
    slice_assignment slice = stored_slice(stored, range);
    erase_key(change, stored, range);
    const slice_assignment* key = find_range(stored, range);
    const bool never_moved = key != nullptr && key->owner == slice.owner &&
                             key->token == slice.token;
    if (never_moved) {
        return;
    }
    slice.token = next(highest_token(stored, range));
    set_assignment(change, slice_range(range), count, slice);
}

void set_next_owner(
    map_change& change,
    const map_rows& stored,
    const range_id& range,
    const member::member_ref& to
) {
    const std::uint32_t count = slice_count_of(stored, range.service);
    const auto* found = find_range(stored, range);
    slice_assignment planned =
        found == nullptr ? stored_slice(stored, range) : *found;
    planned.next_owner = to;
    set_assignment(change, range, count, planned);
}

} // namespace apricotstile::assignment

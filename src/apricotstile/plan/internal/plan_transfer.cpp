// Encoding and decoding of transfers.

#include <apricotstile/plan/internal/plan_transfer.hpp>

#include <algorithm>

namespace apricotstile::plan::internal {

namespace {

void trim_differences(follower_state& state) {
    std::size_t changes = 0;
    for (const kept_difference& one : state.differences) {
        changes += change_count(one.changes);
    }
    const follower_policy& policy = state.policy;
    while (!state.differences.empty() &&
           (state.differences.size() > policy.max_kept_differences ||
            changes > policy.max_kept_changes)) {
        changes -= change_count(state.differences.front().changes);
        state.differences.pop_front();
    }
}

/// The encoded difference from `base_version` to the held version, if it is
/// known.
std::optional<std::string>
encoded_difference(const follower_state& state, plan_version base_version) {
    const auto first = std::find_if(
        state.differences.begin(),
        state.differences.end(),
        [&](const kept_difference& one) {
            return one.from == base_version;
        }
    );
    if (first == state.differences.end()) {
        return std::nullopt;
    }
    version_difference composed;
    for (auto at = first; at != state.differences.end(); ++at) {
        composed.changes = compose(std::move(composed.changes), at->changes);
    }
    return encode(composed);
}

plan_part make_part_at(
    const held_version& held,
    plan_version from,
    const std::string& bytes,
    const fetch_plan& request,
    std::uint32_t part_bytes
) {
    const bool same_version = request.wanted_version == held.record.version;
    const std::size_t offset =
        same_version && request.offset < bytes.size() ? request.offset : 0;
    return {
        held.record,
        from,
        static_cast<std::uint32_t>(offset),
        static_cast<std::uint32_t>(bytes.size()),
        bytes.substr(offset, part_bytes)};
}

held_version decode_unverified(
    const follower_state& state,
    const version_record& record,
    plan_version from,
    const std::string& bytes
) {
    held_version version;
    version.record = record;
    if (from == plan_version{}) {
        version.bytes = bytes;
        version.lists = decode<version_body>(bytes).lists;
        return version;
    }
    version.lists =
        patch(state.held->lists, decode<version_difference>(bytes).changes);
    version.bytes =
        encode(version_body{record.version, record.applied_by, version.lists});
    return version;
}

} // namespace

held_version make_held_version(const version_body& body) {
    held_version held;
    held.bytes = encode(body);
    held.record = {body.version, body.applied_by, content_name(held.bytes)};
    held.lists = body.lists;
    return held;
}

void record_difference(
    follower_state& state, const plan_lists& lists, plan_version version
) {
    if (!state.held) {
        return;
    }
    state.differences.push_back(
        {state.held->record.version,
         version,
         difference_between(state.held->lists, lists)}
    );
    trim_differences(state);
}

plan_part make_part(const follower_state& state, const fetch_plan& request) {
    const held_version& held = *state.held;
    if (!request.full_body) {
        const auto bytes = encoded_difference(state, request.base_version);
        if (bytes && bytes->size() < held.bytes.size()) {
            return make_part_at(
                held,
                request.base_version,
                *bytes,
                request,
                state.policy.part_bytes
            );
        }
    }
    return make_part_at(held, {}, held.bytes, request, state.policy.part_bytes);
}

std::optional<held_version> decode_transfer(
    const follower_state& state,
    const version_record& record,
    plan_version from,
    const std::string& bytes
) {
    const bool base_matches =
        from == plan_version{} ||
        (state.held && state.held->record.version == from);
    if (!base_matches) {
        return std::nullopt;
    }
    try {
        held_version version = decode_unverified(state, record, from, bytes);
        if (content_name(version.bytes) == record.body) {
            return version;
        }
    } catch (const decode_error&) {
        // Parts of two transfers were mixed; the caller fetches the full body.
    }
    return std::nullopt;
}

} // namespace apricotstile::plan::internal

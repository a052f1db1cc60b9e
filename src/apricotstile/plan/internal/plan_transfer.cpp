// Encoding and decoding of transfers.

#include <apricotstile/plan/internal/plan_transfer.hpp>

#include <algorithm>

namespace apricotstile::plan::internal {

namespace {

void trim(follower_state& state) {
    std::size_t changes = 0;
    for (const kept_difference& one : state.differences) {
        changes += change_count(one.changes);
    }
    const follower_policy& policy = state.policy;
    while (!state.differences.empty() &&
           (state.differences.size() > policy.kept_differences ||
            changes > policy.kept_changes)) {
        changes -= change_count(state.differences.front().changes);
        state.differences.pop_front();
    }
}

/// The encoded difference from `have` to the held version, if it is known.
std::optional<std::string>
difference_bytes(const follower_state& state, plan_version have) {
    const auto first = std::find_if(
        state.differences.begin(),
        state.differences.end(),
        [&](const kept_difference& one) {
            return one.from == have;
        }
    );
    if (first == state.differences.end()) {
        return std::nullopt;
    }
    version_difference whole;
    for (auto at = first; at != state.differences.end(); ++at) {
        whole.changes = compose(std::move(whole.changes), at->changes);
    }
    return encode(whole);
}

plan_part
cut(const held_version& held,
    plan_version from,
    const std::string& bytes,
    const fetch_plan& asked,
    std::uint32_t part_bytes) {
    const bool same = asked.want == held.record.version;
    const std::size_t offset =
        same && asked.offset < bytes.size() ? asked.offset : 0;
    return {
        held.record,
        from,
        static_cast<std::uint32_t>(offset),
        static_cast<std::uint32_t>(bytes.size()),
        bytes.substr(offset, part_bytes)};
}

held_version read_transfer(
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

held_version hold(const version_body& body) {
    held_version held;
    held.bytes = encode(body);
    held.record = {body.version, body.applied_by, content_name(held.bytes)};
    held.lists = body.lists;
    return held;
}

void keep_difference(
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
    trim(state);
}

plan_part make_part(const follower_state& state, const fetch_plan& asked) {
    const held_version& held = *state.held;
    if (!asked.whole) {
        const auto bytes = difference_bytes(state, asked.have);
        if (bytes && bytes->size() < held.bytes.size()) {
            return cut(
                held, asked.have, *bytes, asked, state.policy.part_bytes
            );
        }
    }
    return cut(held, {}, held.bytes, asked, state.policy.part_bytes);
}

std::optional<held_version> assemble(
    const follower_state& state,
    const version_record& record,
    plan_version from,
    const std::string& bytes
) {
    const bool applies = from == plan_version{} ||
                         (state.held && state.held->record.version == from);
    if (!applies) {
        return std::nullopt;
    }
    try {
        held_version version = read_transfer(state, record, from, bytes);
        if (content_name(version.bytes) == record.body) {
            return version;
        }
    } catch (const decode_error&) {
        // Parts of two transfers were mixed; the caller fetches the full body.
    }
    return std::nullopt;
}

} // namespace apricotstile::plan::internal

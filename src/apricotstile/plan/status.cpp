// Computes the status from the digests that the members have sent.

#include <apricotstile/plan/status.hpp>

namespace apricotstile::plan {

plan_status describe_status(const follower_state& state) {
    plan_status status;
    const held_version* held = in_force(state);
    status.members = static_cast<std::uint32_t>(state.members.size() + 1);
    if (held == nullptr) {
        return status;
    }
    status.version = held->record.version;
    status.in_force = 1;
    for (const host_id member : state.members) {
        const auto found = state.versions_in_force.find(member);
        const plan_version version = found == state.versions_in_force.end()
                                         ? plan_version{}
                                         : found->second;
        if (version >= status.version) {
            ++status.in_force;
        } else {
            status.lagging.push_back({member, version});
        }
    }
    return status;
}

} // namespace apricotstile::plan

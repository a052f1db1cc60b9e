// Rendezvous hashing spreads a leaving member's ranges evenly without any
// knowledge of load.

#include <apricotstile/assignment/internal/release_target.hpp>

#include <apricotstile/core/hashing.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace apricotstile::assignment::internal {

namespace {

bool serves(const member::member_record& record, const service_id& service) {
    return std::any_of(
        record.services.begin(),
        record.services.end(),
        [&](const member::served_service& one) {
            return one.service == service;
        }
    );
}

} // namespace

std::optional<member::member_ref>
fallback_target(const owner_state& owner, const range_id& range) {
    std::optional<member::member_ref> best;
    std::uint64_t best_rank = 0;
    for (const member::member_record& record : owner.members) {
        const bool usable = record.state == member::member_state::active &&
                            record.self.host != owner.self.host &&
                            serves(record, range.service);
        if (!usable) {
            continue;
        }
        const std::uint64_t rank = stable_hash(fmt::format(
            "{}/{}/{}/{}",
            range.service.value,
            range.slice.value,
            range.key,
            record.self.host.value
        ));
        if (!best || rank > best_rank) {
            best = record.self;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace apricotstile::assignment::internal

// Lookup of refused calls by content hash and deadline.

#include <apricotstile/serving/retrying_callers.hpp>

namespace apricotstile::serving {

void note_refused(retrying_callers& callers, const refused_call& call) {
    if (callers.refused_calls.size() < callers.max_refused) {
        callers.refused_calls.emplace(call.content_hash, call);
    }
}

instant take_first_attempt(
    retrying_callers& callers,
    std::uint64_t content_hash,
    instant deadline,
    instant now
) {
    const auto [begin, end] = callers.refused_calls.equal_range(content_hash);
    for (auto one = begin; one != end; ++one) {
        const duration apart = one->second.deadline - deadline;
        if (apart <= callers.tolerance && -apart <= callers.tolerance) {
            const instant first = one->second.first_attempt;
            callers.refused_calls.erase(one);
            return first;
        }
    }
    return now;
}

void forget_expired(retrying_callers& callers, instant now) {
    std::erase_if(callers.refused_calls, [&](const auto& one) {
        return one.second.deadline < now;
    });
}

} // namespace apricotstile::serving

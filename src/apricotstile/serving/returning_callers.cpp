// Refused calls by their content.

#include <apricotstile/serving/returning_callers.hpp>

namespace apricotstile::serving {

void note_refused(returning_callers& callers, const refused_call& call) {
    if (callers.refused.size() < callers.most) {
        callers.refused.emplace(call.content, call);
    }
}

instant first_attempt(
    returning_callers& callers,
    std::uint64_t content,
    instant deadline,
    instant now
) {
    const auto [begin, end] = callers.refused.equal_range(content);
    for (auto one = begin; one != end; ++one) {
        const duration apart = one->second.deadline - deadline;
        if (apart <= callers.tolerance && -apart <= callers.tolerance) {
            const instant first = one->second.first;
            callers.refused.erase(one);
            return first;
        }
    }
    return now;
}

void forget_passed(returning_callers& callers, instant now) {
    std::erase_if(callers.refused, [&](const auto& one) {
        return one.second.deadline < now;
    });
}

} // namespace apricotstile::serving

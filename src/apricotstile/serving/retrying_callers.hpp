// Recognises refused callers when they retry. Under overload retrying callers
// compete with new ones, and a request that is late anyway must not make new
// work late as well. A retry has the same content and the same deadline as the
// refused request.

#ifndef APRICOTSTILE_SERVING_RETRYING_CALLERS_HPP
#define APRICOTSTILE_SERVING_RETRYING_CALLERS_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <unordered_map>

namespace apricotstile::serving {

/// What a refused caller asked for, and its deadline.
struct refused_call {
    /// Hash of route, path and body.
    std::uint64_t content_hash{0};
    instant deadline;
    /// Arrival of the caller's first attempt.
    instant first_attempt;
};

struct retrying_callers {
    /// Largest difference between the deadlines of one caller's attempts:
    /// callers send them as whole milliseconds left, and the network delay adds
    /// to that.
    duration tolerance{std::chrono::milliseconds{20}};
    /// Refused callers beyond this number count as new when they retry.
    std::size_t max_refused{4096};
    /// By content hash.
    std::unordered_multimap<std::uint64_t, refused_call> refused_calls;
};

void note_refused(retrying_callers& callers, const refused_call& call);

/// When the caller that now asks for `content_hash` made its first attempt;
/// `now` for a new caller. Forgets the refusal.
[[nodiscard]] instant take_first_attempt(
    retrying_callers& callers,
    std::uint64_t content_hash,
    instant deadline,
    instant now
);

/// Forgets callers whose deadline has passed. Call about once a second.
void forget_expired(retrying_callers& callers, instant now);

} // namespace apricotstile::serving

#endif

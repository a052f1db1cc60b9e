// Callers that were refused and come back. Answers overload in which returning
// callers compete with new ones: what is late anyway must not make new work
// late as well. A caller that comes back asks for the same and has the same
// deadline.

#ifndef APRICOTSTILE_SERVING_RETURNING_CALLERS_HPP
#define APRICOTSTILE_SERVING_RETURNING_CALLERS_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <unordered_map>

namespace apricotstile::serving {

/// What a refused caller asked for, and by when.
struct refused_call {
    /// Hash of route, path and body.
    std::uint64_t content_hash{0};
    instant deadline;
    /// The arrival of its first attempt.
    instant first_attempt;
};

struct returning_callers {
    /// Deadlines of one caller's attempts differ by this much at most: they are
    /// told in milliseconds and take their way to this host.
    duration tolerance{std::chrono::milliseconds{20}};
    /// Beyond this number refused callers count as new when they return.
    std::size_t max_refused{4096};
    /// By content.
    std::unordered_multimap<std::uint64_t, refused_call> refused_calls;
};

void note_refused(returning_callers& callers, const refused_call& call);

/// The first attempt of the caller that asks for `content` now, which is
/// `now` for a new one. Forgets the refusal.
[[nodiscard]] instant take_first_attempt(
    returning_callers& callers,
    std::uint64_t content_hash,
    instant deadline,
    instant now
);

/// Call it about once a second.
void forget_expired(returning_callers& callers, instant now);

} // namespace apricotstile::serving

#endif

// How long the callers of a route are willing to wait, learned from what they
// say they still have. Answers overload in which refused callers come back: a
// returning one says less than a new one, and that tells how long ago its
// first attempt was, so that work that is late anyway doesn't make new work
// late as well.
//
// It also tells nested requests, on which work that already runs depends: they
// end with their parents, so that no time is usual among them.

#ifndef APRICOTSTILE_SERVING_CALLER_PATIENCE_HPP
#define APRICOTSTILE_SERVING_CALLER_PATIENCE_HPP

#include <apricotstile/core/time.hpp>

#include <array>

namespace apricotstile::serving {

/// The times that callers of one route have said most often.
struct caller_patience {
    struct told_time {
        duration left{0};
        double count{0};
    };

    static constexpr std::size_t kept = 8;

    std::array<told_time, kept> often{};
    double total{0};
    /// Whether a time was ever usual.
    bool had_usual{false};
};

/// A caller says that it waits for `left`.
void note_patience(caller_patience& patience, duration left);

/// How long ago the first attempt of a caller was that waits for `left` now;
/// zero while no time is usual.
[[nodiscard]] duration
time_since_first_attempt(const caller_patience& patience, duration left);

/// Whether the route's requests are made by instances while they run others.
/// Not before enough of them were seen.
[[nodiscard]] bool is_nested(const caller_patience& patience);

} // namespace apricotstile::serving

#endif

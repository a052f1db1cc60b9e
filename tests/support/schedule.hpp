// Random schedules for property tests: numbers that a test's model reads as
// its next moves, and a count of the cases that a seeded fault survives.

#ifndef APRICOTSTILE_TESTS_SUPPORT_SCHEDULE_HPP
#define APRICOTSTILE_TESTS_SUPPORT_SCHEDULE_HPP

#include <apricotstile/core/random.hpp>

#include <rapidcheck.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace apricotstile::tests {

using schedule = std::vector<std::uint32_t>;

/// What a schedule broke, or nothing.
using violation = std::optional<std::string>;

constexpr std::uint32_t move_bound = 1U << 24U;

[[nodiscard]] inline rc::Gen<schedule> any_schedule() {
    constexpr int longest = 300;
    return rc::gen::resize(
        longest,
        rc::gen::container<schedule>(
            rc::gen::inRange<std::uint32_t>(0, move_bound)
        )
    );
}

/// Reads choices off one move.
struct move_reader {
    std::uint32_t left{0};

    /// A number in [0, bound).
    std::uint32_t below(std::uint32_t bound) {
        const std::uint32_t result = this->left % bound;
        this->left /= bound;
        return result;
    }
};

/// How many random schedules it takes until `run` reports a violation, at
/// most `limit`; `limit + 1` when none does.
template <class Run>
[[nodiscard]] int cases_until_violation(Run run, int limit) {
    constexpr std::uint64_t seed = 20261203;
    constexpr std::size_t length = 100;
    random_source source{seed};
    for (int count = 1; count <= limit; ++count) {
        schedule moves(length);
        for (std::uint32_t& move : moves) {
            move = static_cast<std::uint32_t>(random_below(source, move_bound));
        }
        if (run(moves)) {
            return count;
        }
    }
    return limit + 1;
}

} // namespace apricotstile::tests

#endif

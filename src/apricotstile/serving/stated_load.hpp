// How long work takes at the instance now, as its answers state it. A noisy
// neighbor on the machine makes work take three times as long for a few tenths
// of a second. A mean of the observed service times would follow late, show the
// instance as slow when the neighbor has gone, and move keys away from it. So
// means are of the usual time, and the present factor is applied to them.

#ifndef APRICOTSTILE_SERVING_STATED_LOAD_HPP
#define APRICOTSTILE_SERVING_STATED_LOAD_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace apricotstile::serving {

/// What an answer states of its instance.
struct stated_figures {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};
    /// How long work takes now, as a multiple of the usual. Not all deployments
    /// state it.
    std::optional<double> factor;
};

/// Three or four numbers, separated by commas, semicolons, slashes or blanks;
/// the last is a percentage. Nothing if the text is malformed.
[[nodiscard]] std::optional<stated_figures>
parse_stated_load(std::string_view text);

struct stated_load {
    /// Logarithm of the smoothed factor as of `stated_at`; zero before the
    /// first statement.
    double log_factor{0};
    instant stated_at;
    /// Time that passed until `advanced_at`, divided by the factor in effect.
    duration usual_time{0};
    instant advanced_at;
    /// Mean logarithm of observed service times relative to those expected by
    /// the statements, and the number of them.
    double discrepancy{0};
    std::uint32_t compared{0};
};

/// An answer states that work takes `factor` times as long as usual.
void note_stated_factor(stated_load& load, double factor, instant now);

/// Whether observed service times agree with the statements within a factor of
/// four. If they don't, the statements aren't used.
[[nodiscard]] bool is_trusted(const stated_load& load);

/// The present factor: 1 without statements, or if they aren't trusted. Its
/// distance from 1 is halved after each half-life without a statement.
[[nodiscard]] double factor_now(const stated_load& load, instant now);

/// Reads a clock that runs slower while work does: the difference of two
/// readings is how long work takes usually that ran in between. Without
/// statements it is the time that has passed.
[[nodiscard]] duration read_usual_time(stated_load& load, instant now);

/// Compares the usual time of a request with the mean of its route, and returns
/// the service time to record: the usual time, or the observed one if that
/// agrees with the mean and the usual one is off by more than a factor of four,
/// or if the statements aren't trusted. `mean` is zero while it is unknown.
[[nodiscard]] duration service_time_to_record(
    stated_load& load, duration observed, duration usual, duration mean
);

} // namespace apricotstile::serving

#endif

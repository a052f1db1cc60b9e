// Which promises a run broke, given what was done to it.

#ifndef APRICOTSTILE_STANDINS_CHECK_BROKEN_PROMISES_HPP
#define APRICOTSTILE_STANDINS_CHECK_BROKEN_PROMISES_HPP

#include <optional>
#include <string>
#include <vector>

namespace apricotstile::standins {

struct run_report;

struct tolerance {
    /// True when processes were killed or paused, which cuts their work.
    bool cuts_expected{false};
    /// No bound when empty.
    std::optional<double> most_unavailable_ms;
};

/// The names of the report's fields that break a promise.
[[nodiscard]] std::vector<std::string>
broken_promises(const run_report& report, const tolerance& allowed);

} // namespace apricotstile::standins

#endif

// What the callers and the upstreams recorded of one run.

#ifndef APRICOTSTILE_STANDINS_CHECK_OBSERVED_RUN_HPP
#define APRICOTSTILE_STANDINS_CHECK_OBSERVED_RUN_HPP

#include <standins/caller/attempt.hpp>
#include <standins/check/promised_plan.hpp>
#include <standins/upstream/execution.hpp>

#include <set>
#include <string>
#include <vector>

namespace apricotstile::standins {

struct observed_run {
    std::vector<attempt> attempts;
    std::vector<execution> executions;
    std::vector<promised_plan> plans;
    /// Services that are divided by key.
    std::set<std::string> keyed_services;
    /// Number of slices of the keyed services.
    std::uint32_t slices{256};
    /// Upstreams' and daemons' addresses whose loss, pause or stop was part of
    /// the run.
    std::set<std::string> faulted;
};

/// Appends the attempts of a caller's log. Throws std::runtime_error when the
/// file can't be read.
void read_attempts(const std::string& file, observed_run& into);

/// Appends the executions of an upstream's record file. An unfinished last
/// line, as a killed process leaves it, is skipped.
void read_executions(const std::string& file, observed_run& into);

} // namespace apricotstile::standins

#endif

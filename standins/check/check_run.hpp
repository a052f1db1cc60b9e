// Compares what callers were told with what upstreams did.

#ifndef APRICOTSTILE_STANDINS_CHECK_CHECK_RUN_HPP
#define APRICOTSTILE_STANDINS_CHECK_CHECK_RUN_HPP

#include <standins/check/run_report.hpp>

namespace apricotstile::standins {

struct observed_run;

[[nodiscard]] run_report check_run(const observed_run& run);

} // namespace apricotstile::standins

#endif

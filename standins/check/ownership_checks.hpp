// Checks of slices' owners, and how evenly work fell on upstreams.

#ifndef APRICOTSTILE_STANDINS_CHECK_OWNERSHIP_CHECKS_HPP
#define APRICOTSTILE_STANDINS_CHECK_OWNERSHIP_CHECKS_HPP

namespace apricotstile::standins {

struct observed_run;
struct run_report;

void check_ownership(const observed_run& run, run_report& report);

} // namespace apricotstile::standins

#endif

// Checks that no customer got more than its plan.

#ifndef APRICOTSTILE_STANDINS_CHECK_PLAN_CHECKS_HPP
#define APRICOTSTILE_STANDINS_CHECK_PLAN_CHECKS_HPP

namespace apricotstile::standins {

struct observed_run;
struct run_report;

void check_plans(const observed_run& run, run_report& report);

} // namespace apricotstile::standins

#endif

// Checks of single calls: outcomes, lost and doubled work, answers.

#ifndef APRICOTSTILE_STANDINS_CHECK_CALL_CHECKS_HPP
#define APRICOTSTILE_STANDINS_CHECK_CALL_CHECKS_HPP

namespace apricotstile::standins {

struct observed_run;
struct run_report;

void check_calls(const observed_run& run, run_report& report);

} // namespace apricotstile::standins

#endif

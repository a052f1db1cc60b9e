// The longest time for which a slice or service was not served.

#ifndef APRICOTSTILE_STANDINS_CHECK_UNAVAILABLE_TIME_HPP
#define APRICOTSTILE_STANDINS_CHECK_UNAVAILABLE_TIME_HPP

namespace apricotstile::standins {

struct observed_run;
struct run_report;

void check_unavailable_time(const observed_run& run, run_report& report);

} // namespace apricotstile::standins

#endif

// Runs a function in the event loop when the process is asked to end.

#ifndef APRICOTSTILE_STANDINS_SUPPORT_TERMINATION_HPP
#define APRICOTSTILE_STANDINS_SUPPORT_TERMINATION_HPP

#include <functional>

namespace apricotstile::standins {

/// Calls `stop` in the event loop of this thread on SIGTERM and SIGINT.
/// To be called once, after the application object was made.
void on_termination(std::function<void()> stop);

} // namespace apricotstile::standins

#endif

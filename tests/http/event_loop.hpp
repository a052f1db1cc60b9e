// Runs Qt's event loop in tests until something has happened.

#ifndef APRICOTSTILE_TESTS_HTTP_EVENT_LOOP_HPP
#define APRICOTSTILE_TESTS_HTTP_EVENT_LOOP_HPP

#include <functional>

namespace apricotstile::tests {

/// Makes the application object that Qt's sockets need, once.
void need_application();

/// Handles events until `done` holds; false when it doesn't within a bound
/// that is far longer than anything here takes.
[[nodiscard]] bool wait_until(const std::function<bool()>& done);

} // namespace apricotstile::tests

#endif

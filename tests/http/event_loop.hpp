// Runs Qt's event loop in tests until a condition holds.

#ifndef APRICOTSTILE_TESTS_HTTP_EVENT_LOOP_HPP
#define APRICOTSTILE_TESTS_HTTP_EVENT_LOOP_HPP

#include <apricotstile/host/address.hpp>

#include <functional>

namespace apricotstile::tests {

/// Creates the application object that Qt's sockets need, unless it exists.
void need_application();

/// Processes events until `done` returns true. Returns false if it doesn't
/// within a timeout that is far longer than any test needs.
[[nodiscard]] bool wait_until(const std::function<bool()>& done);

/// A loopback address that no other call, process or outgoing connection uses.
[[nodiscard]] address unused_address();

} // namespace apricotstile::tests

#endif

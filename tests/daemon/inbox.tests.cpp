// The ring into a duty while the duty is torn down.

#include <apricotstile/daemon/inbox.hpp>
#include <tests/http/event_loop.hpp>

#include <catch2/catch.hpp>

#include <QCoreApplication>

#include <vector>

using apricotstile::daemon::inbox;

TEST_CASE("a closed inbox drops what waits and what comes later", "[inbox]") {
    // A message that is consumed after the tear-down would meet parts that
    // are gone.
    apricotstile::tests::need_application();
    QObject context;
    std::vector<int> consumed;
    inbox<int> messages{4};
    messages.open(&context, [&](int&& message) {
        consumed.push_back(message);
    });
    messages.push(1);
    QCoreApplication::processEvents();
    messages.push(2);
    messages.close();
    messages.push(3);
    QCoreApplication::processEvents();
    REQUIRE(consumed == std::vector<int>{1});
}

// Guards against copies of the table that stay old because a read failed.

#include <apricotstile/router/table_view.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::router;
using namespace std::chrono_literals;

namespace {

const instant start{100s};

} // namespace

TEST_CASE("a read that failed is made again soon", "[router][table_view]") {
    table_view view;
    note_request(view, start);
    CHECK(note_result(view, true, start) == view_change::none);
    CHECK_FALSE(is_due(view, 20s, 3s, start + 4s));
    CHECK(is_due(view, 20s, 3s, start + 21s));
    note_request(view, start + 21s);
    CHECK(note_result(view, false, start + 21s) == view_change::lost);
    CHECK_FALSE(is_due(view, 20s, 3s, start + 23s));
    CHECK(is_due(view, 20s, 3s, start + 25s));
}

TEST_CASE(
    "the age of a view counts from the request of the last answered read",
    "[router][table_view]"
) {
    table_view view;
    CHECK_FALSE(age_of(view, start));
    note_request(view, start);
    CHECK(note_result(view, true, start) == view_change::none);
    note_request(view, start + 5s);
    CHECK(note_result(view, false, start + 5s) == view_change::lost);
    CHECK(note_result(view, false, start + 5s) == view_change::none);
    CHECK(age_of(view, start + 7s) == 7s);
    CHECK(note_result(view, true, start + 6s) == view_change::regained);
    CHECK(age_of(view, start + 7s) == 1s);
}

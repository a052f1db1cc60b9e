// Guards against operators' rows that are taken for evacuations of another
// failure domain, or not at all.

#include <platform/evacuation_rows.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::adapter;

TEST_CASE("rows that evacuate a domain are decoded", "[adapter][evacuation]") {
    platform::followed_rows rows;
    rows.version = {9};
    rows.is_complete = GENERATE(false, true);
    rows.rows = {
        {{{"op//config"}, {3}, "{}"}, false},
        {{{"op//evacuate/nl-west-a"}, {4}, "{}"}, false},
        {{{"op//evacuate/a/b"}, {5}, "not JSON"}, false},
        {{{"op//evacuate/"}, {6}, "{}"}, false},
        {{{"op//evacuated/c"}, {7}, "{}"}, false},
        {{{"op/x/evacuate/d"}, {8}, "{}"}, false},
        {{{"op//evacuate/nl-west-a"}, {9}, {}}, true}};
    const routing::evacuation_changes decoded = decode_evacuations(rows);
    CHECK(decoded.is_complete == rows.is_complete);
    CHECK(decoded.version == platform::row_version{9});
    REQUIRE(decoded.changes.size() == 3);
    CHECK(decoded.changes[0].domain == failure_domain_id{"nl-west-a"});
    CHECK(decoded.changes[0].version == platform::row_version{4});
    CHECK_FALSE(decoded.changes[0].withdrawn);
    CHECK(decoded.changes[1].domain == failure_domain_id{"a/b"});
    CHECK(decoded.changes[2].domain == failure_domain_id{"nl-west-a"});
    CHECK(decoded.changes[2].withdrawn);
}

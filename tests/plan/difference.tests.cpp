// Guards against differences that don't reproduce a version's lists, bodies
// that change by encoding, ambiguous row keys, and wrong limits from a lookup.

#include <tests/plan/list_generators.hpp>

#include <apricotstile/plan/difference.hpp>
#include <apricotstile/plan/plan_book.hpp>
#include <apricotstile/plan/version_body.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace apricotstile;

TEST_CASE("patching with a difference gives the new version", "[plan]") {
    rc::prop("patch reproduces the new lists", [](std::uint64_t seed) {
        random_source source{seed};
        const plan::plan_lists from = tests::random_lists(source);
        const plan::plan_lists to = tests::random_lists(source);
        const auto difference = plan::difference_between(from, to);
        RC_ASSERT(plan::patch(from, difference) == to);
        RC_ASSERT(plan::is_empty(difference) == (from == to));
    });
    rc::prop("composed differences do the same", [](std::uint64_t seed) {
        random_source source{seed};
        const plan::plan_lists a = tests::random_lists(source);
        const plan::plan_lists b = tests::random_lists(source);
        const plan::plan_lists c = tests::random_lists(source);
        const auto both = plan::compose(
            plan::difference_between(a, b), plan::difference_between(b, c)
        );
        RC_ASSERT(plan::patch(a, both) == c);
    });
}

TEST_CASE("decoding restores a body, named by its bytes", "[plan]") {
    rc::prop("decode undoes encode", [](std::uint64_t seed) {
        random_source source{seed};
        const plan::version_body body{{3}, {seed}, tests::random_lists(source)};
        const std::string bytes = encode(body);
        RC_ASSERT(decode<plan::version_body>(bytes) == body);
        RC_ASSERT(plan::content_name(bytes) == plan::content_name(bytes));
        plan::version_body other = body;
        other.version = next(other.version);
        RC_ASSERT(
            plan::content_name(encode(other)) != plan::content_name(bytes)
        );
    });
}

TEST_CASE("a version's row key is no prefix of another's", "[plan]") {
    // Rows are read by key prefix, so a row's key is used as a prefix.
    REQUIRE_FALSE(
        plan::version_row_key({10}).starts_with(plan::version_row_key({1}))
    );
}

TEST_CASE("a book finds each customer's limits", "[plan]") {
    rc::prop("as the lists state them", [](std::uint64_t seed) {
        random_source source{seed};
        const plan::plan_lists lists = tests::random_lists(source);
        const plan::plan_book book = plan::compile({1}, lists);
        for (const auto& [customer, name] : lists.customers) {
            const auto* limits = plan::find_limits(book, customer);
            RC_ASSERT(limits != nullptr);
            RC_ASSERT(*limits == lists.plans.plans.at(name));
            RC_ASSERT(plan::allows(*limits, {"registry"}));
            RC_ASSERT(!plan::allows(*limits, {"tariffs"}));
        }
        RC_ASSERT(plan::find_limits(book, {"nobody"}) == nullptr);
    });
}

// Guards against an offline check that rejects valid lists, accepts invalid
// ones, or stops at the first error.

#include <apricotstile/plan/check.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace apricotstile;

namespace {

constexpr const char* valid_plans = R"({
  // Harbour offices.
  "plans": {
    "small": {
      "services": ["registry", "invoicing"],
      "requests_per_second": 20,
      "requests_at_once": 8
    },
    "reports": {
      "services": ["registry"],
      "requests_per_second": 5,
      "burst": 50,
      "requests_at_once": 2,
      "work_class": "background",
      "cross_region_bytes_per_second": 0
    }
  }
})";

plan::check_result
check(const std::string& customers, const std::string& plans) {
    return plan::check({{"customers.json", customers}, {"plans.json", plans}});
}

bool has_finding(
    const plan::check_result& result,
    const std::string& file,
    std::uint64_t line,
    const std::string& path
) {
    return std::any_of(
        result.findings.begin(),
        result.findings.end(),
        [&](const plan::finding& one) {
            return one.file == file && one.line == line && one.path == path;
        }
    );
}

} // namespace

TEST_CASE("valid lists with comments are accepted", "[plan][check]") {
    const auto result = check(
        R"({"customers": { /* marinas */ "delfzijl": "small"}})", valid_plans
    );
    REQUIRE(result.accepted);
    REQUIRE(result.findings.empty());
    REQUIRE(result.lists.customers.at({"delfzijl"}) == plan_id{"small"});
    const auto& small = result.lists.plans.plans.at({"small"});
    REQUIRE(small.burst == 20);
    REQUIRE(small.priority == request::work_class::normal);
    const auto& reports = result.lists.plans.plans.at({"reports"});
    REQUIRE(reports.burst == 50);
    REQUIRE(reports.priority == request::work_class::background);
    REQUIRE(reports.cross_region_bytes_per_second == 0);
}

TEST_CASE("all errors of both files are reported at once", "[plan][check]") {
    const auto result = check(
        R"({
"customers": {
  "a": "small",
  "b": "nowhere",
  "a": "small",
  "c": 7,
  "bad name": "small"
},
"extra": 1
})",
        R"({
"plans": {
  "small": {
    "services": [],
    "requests_per_second": 0,
    "burst": 2000000,
    "requests_at_once": 1.5,
    "work_class": "urgent",
    "colour": "red"
  },
  "other": {
    "services": ["registry", "registry"],
    "requests_per_second": -3
  },
  "other": {}
}
})"
    );
    REQUIRE_FALSE(result.accepted);
    const std::string customers = "customers.json";
    CHECK(has_finding(result, customers, 4, "/customers/b"));
    CHECK(has_finding(result, customers, 5, "/customers/a"));
    CHECK(has_finding(result, customers, 6, "/customers/c"));
    CHECK(has_finding(result, customers, 7, "/customers/bad name"));
    CHECK(has_finding(result, customers, 9, "/extra"));
    const std::string plans = "plans.json";
    CHECK(has_finding(result, plans, 4, "/plans/small/services"));
    CHECK(has_finding(result, plans, 5, "/plans/small/requests_per_second"));
    CHECK(has_finding(result, plans, 6, "/plans/small/burst"));
    CHECK(has_finding(result, plans, 7, "/plans/small/requests_at_once"));
    CHECK(has_finding(result, plans, 8, "/plans/small/work_class"));
    CHECK(has_finding(result, plans, 9, "/plans/small/colour"));
    CHECK(has_finding(result, plans, 12, "/plans/other/services/1"));
    CHECK(has_finding(result, plans, 13, "/plans/other/requests_per_second"));
    CHECK(has_finding(result, plans, 11, "/plans/other/requests_at_once"));
    CHECK(has_finding(result, plans, 15, "/plans/other"));
}

TEST_CASE("a syntax error names its line", "[plan][check]") {
    const auto result = check("{\n\"customers\": {\n\"a\" \"b\"}}", "[1,\n2]");
    REQUIRE(has_finding(result, "customers.json", 3, ""));
    REQUIRE(has_finding(result, "plans.json", 1, ""));
}

TEST_CASE("deep nesting is an error and not a crash", "[plan][check]") {
    const auto result = check(std::string(100'000, '['), valid_plans);
    REQUIRE_FALSE(result.accepted);
}

TEST_CASE("plans that exceed the capacity are a warning", "[plan][check]") {
    const std::string plans = R"({
"plans": {"small": {"services": ["registry"], "requests_per_second": 20,
                    "requests_at_once": 8}},
"upstream_capacity": {
  "registry": {"requests_per_second": 30, "requests_at_once": 16}
}})";
    const auto result =
        check(R"({"customers": {"a": "small", "b": "small"}})", plans);
    REQUIRE(result.accepted);
    REQUIRE(result.findings.size() == 1);
    REQUIRE(result.findings[0].severity == plan::severity::warning);
    REQUIRE(result.findings[0].found == "40");
}

TEST_CASE("a service without a stated capacity is an error", "[plan][check]") {
    const std::string plans = R"({
"plans": {"small": {"services": ["registri"], "requests_per_second": 20,
                    "requests_at_once": 8}},
"upstream_capacity": {
  "registry": {"requests_per_second": 30, "requests_at_once": 16}
}})";
    REQUIRE_FALSE(check(R"({"customers": {}})", plans).accepted);
}

TEST_CASE("the check never throws for any text", "[plan][check]") {
    rc::prop("damaged lists", [](std::uint8_t byte) {
        std::string plans = valid_plans;
        const auto at = *rc::gen::inRange<std::size_t>(0, plans.size());
        plans[at] = static_cast<char>(byte);
        const auto result = check(R"({"customers": {"a": "small"}})", plans);
        const bool any_error = std::any_of(
            result.findings.begin(),
            result.findings.end(),
            [](const plan::finding& one) {
                return one.severity == plan::severity::error;
            }
        );
        RC_ASSERT(result.accepted == !any_error);
    });
}

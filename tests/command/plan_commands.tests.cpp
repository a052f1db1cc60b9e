// Exit statuses, texts and the JSON that commands and daemons exchange.

#include <apricotstile/command/exchange.hpp>
#include <apricotstile/command/plan_commands.hpp>
#include <apricotstile/host/address.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using command::exit_status;
using command::output_format;

namespace {

constexpr const char* plans = R"({"plans": {
"small": {"services": ["registry"], "requests_per_second": 20,
          "requests_at_once": 8}}})";

plan::list_texts texts_of(const std::string& customers) {
    return {{"customers.json", customers}, {"plans.json", plans}};
}

} // namespace

TEST_CASE("check exits by whether there are errors", "[command]") {
    const auto good = command::run_check(
        texts_of(R"({"customers": {"a": "small"}})"), output_format::text
    );
    REQUIRE(good.status == exit_status::done);
    REQUIRE(good.output == "1 customers and 1 plans: no errors\n");
    const auto bad = command::run_check(
        texts_of(R"({"customers": {"a": "large"}})"), output_format::text
    );
    REQUIRE(bad.status == exit_status::bad_input);
    REQUIRE(
        bad.output == "customers.json:1: error: /customers/a: expected a plan "
                      "of the plans file, found \"large\"\n"
    );
}

TEST_CASE("diff prints what changes", "[command]") {
    const auto result = command::run_diff(
        texts_of(R"({"customers": {"a": "small", "b": "small"}})"),
        texts_of(R"({"customers": {"b": "small", "c": "small"}})"),
        output_format::text
    );
    REQUIRE(result.status == exit_status::done);
    REQUIRE(result.output == "- customer a\n+ customer c: \"small\"\n");
}

TEST_CASE("an order and its report survive the exchange", "[command]") {
    const command::apply_order order{
        {77}, {4}, texts_of(R"({"customers": {}})")};
    const auto read = command::read_order(command::write_order(order));
    REQUIRE(read.id == order.id);
    REQUIRE(read.based_on == order.based_on);
    REQUIRE(read.texts.customers.text == order.texts.customers.text);
    plan::apply_report report{
        {77}, plan::apply_status::lost_race, {5}, plan::plan_difference{}};
    report.changed_since_base->customers[{"a"}] = plan_id{"small"};
    report.changed_since_base->customers[{"b"}] = std::nullopt;
    report.changed_since_base->plans[{"small"}] = plan::plan_limits{};
    const auto again = command::read_report(command::write_report(report));
    REQUIRE(again.status == report.status);
    REQUIRE(again.version == report.version);
    REQUIRE(again.changed_since_base == report.changed_since_base);
    REQUIRE(
        command::show_report(again, output_format::text).status ==
        exit_status::lost_race
    );
    REQUIRE_THROWS_AS(command::read_order("{}"), command::exchange_error);
}

TEST_CASE("status names the members that lag", "[command]") {
    const host_id member = host_at(*parse_address("127.0.0.1:7011"));
    const plan::plan_status status{{5}, 3, 2, {{member, {4}}}};
    const auto read = command::read_status(command::write_status(status));
    REQUIRE(read == status);
    const auto shown = command::show_status(read, output_format::text);
    REQUIRE(shown.status == exit_status::lagging);
    REQUIRE(
        shown.output == "version 5 is in force on 2 of 3 members\n"
                        "lagging: 127.0.0.1:7011 at version 4\n"
    );
}

// A request's way and the reasons of failures, out of log lines.

#include <apricotstile/command/log_commands.hpp>
#include <apricotstile/command/log_line.hpp>

#include <catch2/catch.hpp>

#include <sstream>

using namespace apricotstile::command;

namespace {

constexpr auto ingress_log =
    "2026-04-02T01:49:06.100Z info [links] Link opened. peer=10.1.0.2:7200\n"
    "a line of something else\n"
    "2026-04-02T01:49:07.300Z warning [ingress] Request not answered by an "
    "instance. request=aa11 status=503 reason=not_run "
    "attempts=10.1.0.2:7200:refused_busy,10.1.0.3:7200:refused_busy\n"
    "2026-04-02T01:49:07.400Z warning [ingress] Request not answered by an "
    "instance. request=bb22 status=504 reason=deadline attempts=\"\"\n";

constexpr auto instance_log =
    "  12.5 sidecar-a 2026-04-02T01:49:07.200Z info [instance] Request not "
    "served. request=aa11 outcome=refused_busy waiting=9\n"
    "  12.6 sidecar-a 2026-04-02T01:49:07.250Z info [instance] Request not "
    "served. request=aa11.c0 outcome=lost\n";

} // namespace

TEST_CASE("a line is read back into its parts", "[command][log]") {
    const auto line = parse_log_line(
        "2026-04-02T01:49:06.100Z warning [keys] It ran out. owner=10.1.0.2:1 "
        "why=\"a \\\"b\\\"\""
    );
    REQUIRE(line);
    CHECK(line->time == "2026-04-02T01:49:06.100Z");
    CHECK(line->level == "warning");
    CHECK(line->part == "keys");
    CHECK(line->sentence == "It ran out.");
    CHECK(line->fields.at("owner") == "10.1.0.2:1");
    CHECK(line->fields.at("why") == "a \"b\"");
    CHECK_FALSE(parse_log_line("no line of ours"));
}

TEST_CASE("a request's way is told in order, its end marked", "[command]") {
    std::istringstream first{ingress_log};
    std::istringstream second{instance_log};
    const log_report report = explain_request("aa11", {&first, &second});
    CHECK(report.lines == 3);
    CHECK(report.foreign_lines == 1);
    const std::size_t refusal = report.text.find("outcome=refused_busy");
    const std::size_t nested = report.text.find("request=aa11.c0");
    const std::size_t end = report.text.find("> 2026-04-02T01:49:07.300Z");
    REQUIRE(end != std::string::npos);
    CHECK(refusal < nested);
    CHECK(nested < end);
    CHECK(report.text.find("bb22") == std::string::npos);
}

TEST_CASE("reasons are summed up, the most frequent first", "[command]") {
    std::istringstream log{std::string{ingress_log} + ingress_log};
    const log_report report = sum_up_reasons({&log});
    CHECK(
        report.text ==
        "      2 status=504 reason=deadline attempts=none\n"
        "      2 status=503 reason=not_run attempts=refused_busy\n"
    );
}

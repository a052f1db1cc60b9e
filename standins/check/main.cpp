// load_checker: one JSON object about a run, and its verdict.
// Exit status: 0 every promise held, 1 one was broken, 2 wrong flags or files.

#include <standins/check/broken_promises.hpp>
#include <standins/check/check_run.hpp>
#include <standins/check/observed_run.hpp>
#include <standins/support/program.hpp>

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace {

using namespace apricotstile::standins;
namespace options = boost::program_options;

struct settings {
    std::vector<std::string> caller_logs;
    std::vector<std::string> records;
    std::vector<std::string> plans;
    std::vector<std::string> keyed_services;
    std::vector<std::string> faulted;
    std::uint32_t slices{256};
    double most_unavailable_ms{0};
    bool cuts_expected{false};
};

options::options_description describe(settings& into) {
    options::options_description flags{"load_checker [flags]"};
    auto add = flags.add_options();
    add("help", "show the flags");
    add("caller-log",
        options::value(&into.caller_logs)->required()->multitoken(),
        "logs of load_caller");
    add("record",
        options::value(&into.records)->required()->multitoken(),
        "record files of upstream_standin");
    add("plan",
        options::value(&into.plans)->multitoken(),
        "CUSTOMER=PER_SECOND+BURST");
    add("keyed",
        options::value(&into.keyed_services)->multitoken(),
        "services that are divided by key");
    add("slices",
        options::value(&into.slices)->default_value(256),
        "of the keyed services");
    add("faulted",
        options::value(&into.faulted)->multitoken(),
        "addresses of upstreams and of daemons for callers that were "
        "stopped, killed or paused");
    add("cuts-expected",
        options::bool_switch(&into.cuts_expected),
        "cut_in_flight breaks no promise");
    add("most-unavailable-ms",
        options::value(&into.most_unavailable_ms)->default_value(0),
        "bound on max_unavailable_ms; 0: none");
    return flags;
}

observed_run read_run(const settings& chosen) {
    observed_run run;
    for (const std::string& file : chosen.caller_logs) {
        read_attempts(file, run);
    }
    for (const std::string& file : chosen.records) {
        read_executions(file, run);
    }
    for (const std::string& text : chosen.plans) {
        run.plans.push_back(parse_promised_plan(text));
    }
    run.keyed_services.insert(
        chosen.keyed_services.begin(), chosen.keyed_services.end()
    );
    run.faulted.insert(chosen.faulted.begin(), chosen.faulted.end());
    run.slices = chosen.slices;
    return run;
}

tolerance allowed_by(const settings& chosen) {
    tolerance allowed{chosen.cuts_expected, {}};
    if (chosen.most_unavailable_ms > 0) {
        allowed.most_unavailable_ms = chosen.most_unavailable_ms;
    }
    return allowed;
}

} // namespace

int main(int argc, char** argv) {
    settings chosen;
    const options::options_description flags = describe(chosen);
    return run_program(argc, argv, flags, [&] {
        const run_report report = check_run(read_run(chosen));
        const auto broken = broken_promises(report, allowed_by(chosen));
        nlohmann::json shown = to_json(report);
        shown["broken"] = broken;
        fmt::print("{}\n", shown.dump());
        return broken.empty() ? 0 : 1;
    });
}

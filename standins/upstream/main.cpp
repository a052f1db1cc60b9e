// upstream_standin: a server that the router sends work to.

#include <standins/support/program.hpp>
#include <standins/support/termination.hpp>
#include <standins/upstream/upstream_server.hpp>

#include <boost/program_options.hpp>

#include <QCoreApplication>

#include <stdexcept>

namespace {

using namespace apricotstile::standins;
using std::chrono::milliseconds;
namespace options = boost::program_options;

/// Flags whose text or unit differs from the settings.
struct raw_flags {
    std::vector<std::string> services;
    std::string shape;
    std::string poison;
    unsigned mean_ms{0};
    unsigned cold_ms{0};
    unsigned health_lag_ms{0};
    unsigned leave_quiet_ms{0};
    unsigned leave_limit_ms{0};
    std::uint32_t slots{0};
    std::uint32_t connections{0};
    std::uint32_t queue{0};
};

options::options_description
describe_process(raw_flags& raw, upstream_settings& chosen) {
    options::options_description flags{"Process"};
    auto add = flags.add_options();
    add("help", "show the flags");
    add("listen",
        options::value(&chosen.listen)->required(),
        "own address, which is announced");
    add("daemon",
        options::value(&chosen.daemon)->required(),
        "the daemon's address for upstreams");
    add("record-file",
        options::value(&chosen.record_file),
        "append executions to this file as JSON lines");
    add("seed",
        options::value(&chosen.seed)->default_value(1),
        "of service times and shedding");
    add("leave-quiet-ms",
        options::value(&raw.leave_quiet_ms)->default_value(500),
        "on SIGTERM, end after this time without new work");
    add("leave-limit-ms",
        options::value(&raw.leave_limit_ms)->default_value(10000),
        "on SIGTERM, refuse to wait longer for quiet");
    return flags;
}

options::options_description
describe_work(raw_flags& raw, upstream_settings& chosen) {
    options::options_description flags{"Work"};
    auto add = flags.add_options();
    add("service",
        options::value(&raw.services)->required()->composing(),
        "NAME, or NAME:SLICES when divided by key; may be repeated");
    add("slots",
        options::value(&raw.slots)->default_value(16),
        "work run at once, a service");
    add("connections",
        options::value(&raw.connections)->default_value(120),
        "connections with work, a service; more are refused");
    add("queue",
        options::value(&raw.queue)->default_value(64),
        "work that waits for a slot, a service; more is shed");
    add("mean-ms",
        options::value(&raw.mean_ms)->default_value(4),
        "mean service time");
    add("distribution",
        options::value(&raw.shape)->default_value("lognormal"),
        "fixed, exponential or lognormal");
    add("cold-ms",
        options::value(&raw.cold_ms)->default_value(0),
        "time from the start until service times are normal");
    add("cold-factor",
        options::value(&chosen.times.cold_factor)->default_value(5),
        "on service times at the start");
    return flags;
}

options::options_description
describe_faults(raw_flags& raw, upstream_settings& chosen) {
    options::options_description flags{"Behaviour"};
    auto add = flags.add_options();
    add("checks-tokens",
        options::value(&chosen.checks_tokens)->default_value(true),
        "refuse work without a valid fenced grant");
    add("poison",
        options::value(&raw.poison)->default_value("crash"),
        "on a body with 'poison-pill': none, crash or freeze");
    add("health-lag-ms",
        options::value(&raw.health_lag_ms)->default_value(1000),
        "age of the load that /health tells");
    add("health-lies",
        options::value(&chosen.health_lies)->default_value(false),
        "/health tells of no load");
    return flags;
}

poison_effect parse_poison(const std::string& name) {
    if (name == "none") {
        return poison_effect::none;
    }
    if (name == "crash") {
        return poison_effect::crash;
    }
    if (name == "freeze") {
        return poison_effect::freeze;
    }
    throw std::invalid_argument("unknown effect of poison '" + name + "'");
}

served_service service_from(const raw_flags& raw, const std::string& text) {
    served_service service = parse_service(text);
    service.slots = raw.slots;
    service.connections = raw.connections;
    service.queue = raw.queue;
    return service;
}

void complete(upstream_settings& chosen, const raw_flags& raw) {
    for (const std::string& text : raw.services) {
        chosen.services.push_back(service_from(raw, text));
    }
    chosen.times.mean = milliseconds{raw.mean_ms};
    chosen.times.shape = parse_distribution(raw.shape);
    chosen.times.cold_for = milliseconds{raw.cold_ms};
    chosen.poison = parse_poison(raw.poison);
    chosen.health_lag = milliseconds{raw.health_lag_ms};
    chosen.leave_quiet = milliseconds{raw.leave_quiet_ms};
    chosen.leave_limit = milliseconds{raw.leave_limit_ms};
}

} // namespace

int main(int argc, char** argv) {
    raw_flags raw;
    upstream_settings chosen;
    options::options_description flags{"upstream_standin [flags]"};
    flags.add(describe_process(raw, chosen));
    flags.add(describe_work(raw, chosen));
    flags.add(describe_faults(raw, chosen));
    return run_program(argc, argv, flags, [&] {
        complete(chosen, raw);
        QCoreApplication application{argc, argv};
        upstream_server server{chosen};
        on_termination([&] {
            server.leave();
        });
        return QCoreApplication::exec();
    });
}

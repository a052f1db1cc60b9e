// load_caller: mixed load on daemons, with a log of every attempt.

#include <standins/caller/load_caller.hpp>
#include <standins/support/program.hpp>
#include <standins/support/termination.hpp>

#include <boost/program_options.hpp>

#include <QCoreApplication>

namespace {

using namespace apricotstile::standins;
using std::chrono::milliseconds;
namespace options = boost::program_options;

/// Flags whose text or unit differs from the settings.
struct raw_flags {
    std::vector<std::string> customers;
    std::vector<std::string> lookups;
    double seconds{0};
    unsigned deadline_ms{0};
};

options::options_description
describe_process(raw_flags& raw, load_settings& chosen) {
    options::options_description flags{"Process"};
    auto add = flags.add_options();
    add("help", "show the flags");
    add("daemon",
        options::value(&chosen.daemons)->required()->composing(),
        "a daemon's address for callers; may be repeated");
    add("connections",
        options::value(&chosen.connections_per_daemon)->default_value(16),
        "open at once, a daemon");
    add("log-file",
        options::value(&chosen.log_file)->required(),
        "every attempt as a JSON line");
    add("seconds",
        options::value(&raw.seconds)->default_value(10),
        "how long to offer calls");
    add("seed",
        options::value(&chosen.seed)->default_value(1),
        "of calls and choices of daemons");
    add("name-prefix",
        options::value(&chosen.name_prefix)->default_value("c"),
        "of the calls' names; differs between callers");
    return flags;
}

options::options_description
describe_mix(raw_flags& raw, load_settings& chosen) {
    options::options_description flags{"Load"};
    auto add = flags.add_options();
    add("rate",
        options::value(&chosen.mix.per_second)->default_value(100),
        "calls a second, whatever becomes of them");
    add("lookup",
        options::value(&raw.lookups)->required()->composing(),
        "SERVICE[=WEIGHT] for lookups; may be repeated");
    add("invoice",
        options::value(&chosen.mix.invoice_service)->required(),
        "service for invoices, which are not idempotent");
    add("invoice-share",
        options::value(&chosen.mix.invoice_share)->default_value(0.2),
        "of all calls");
    add("hang-up-share",
        options::value(&chosen.mix.hang_up_share)->default_value(0.01),
        "of all calls, within 10 ms");
    add("customer",
        options::value(&raw.customers)->required()->composing(),
        "NAME[=WEIGHT]; may be repeated");
    add("keys",
        options::value(&chosen.mix.keys)->default_value(2000),
        "number of keys");
    add("skew",
        options::value(&chosen.mix.skew)->default_value(0.9),
        "key number k has weight 1/k^skew");
    add("deadline-ms",
        options::value(&raw.deadline_ms)->default_value(1000),
        "of every attempt");
    add("attempts",
        options::value(&chosen.retries.most_attempts)->default_value(20),
        "a call, at most");
    return flags;
}

void complete(load_settings& chosen, const raw_flags& raw) {
    for (const std::string& text : raw.customers) {
        chosen.mix.customers.push_back(parse_weighted(text));
    }
    for (const std::string& text : raw.lookups) {
        chosen.mix.lookup_services.push_back(parse_weighted(text));
    }
    chosen.run_for = std::chrono::duration_cast<apricotstile::duration>(
        std::chrono::duration<double>{raw.seconds}
    );
    chosen.deadline = milliseconds{raw.deadline_ms};
}

} // namespace

int main(int argc, char** argv) {
    raw_flags raw;
    load_settings chosen;
    options::options_description flags{"load_caller [flags]"};
    flags.add(describe_process(raw, chosen));
    flags.add(describe_mix(raw, chosen));
    return run_program(argc, argv, flags, [&] {
        complete(chosen, raw);
        QCoreApplication application{argc, argv};
        load_caller caller{chosen};
        on_termination([&] {
            caller.stop();
        });
        return QCoreApplication::exec();
    });
}

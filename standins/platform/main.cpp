// platform_standin: the platform's table service and object store over HTTP.

#include <standins/platform/platform_service.hpp>
#include <standins/support/http_service.hpp>
#include <standins/support/program.hpp>
#include <standins/support/termination.hpp>

#include <boost/program_options.hpp>

#include <QCoreApplication>
#include <QTimer>

namespace {

using namespace apricotstile;
using namespace apricotstile::standins;
namespace options = boost::program_options;

struct settings {
    std::string listen;
    double writes_per_second{0};
    double reads_per_second{0};
    unsigned latency_ms{0};
};

options::options_description describe(settings& into) {
    options::options_description flags{"platform_standin [flags]"};
    auto add = flags.add_options();
    add("help", "show the flags");
    add("listen",
        options::value(&into.listen)->default_value("127.0.0.1:9000"),
        "address of the table service and the object store");
    add("writes-per-second",
        options::value(&into.writes_per_second)->default_value(400),
        "further writes are refused; 0: no limit");
    add("reads-per-second",
        options::value(&into.reads_per_second)->default_value(2000),
        "further reads are refused; 0: no limit");
    add("latency-ms",
        options::value(&into.latency_ms)->default_value(2),
        "time added to every answer");
    return flags;
}

void deliver(const planned_reply& planned, const pending_reply& to) {
    if (planned.how == delivery::answered) {
        to.send(planned.reply);
    } else if (planned.how == delivery::connection_closed) {
        to.drop();
    }
}

int run(int argc, char** argv, const settings& chosen) {
    QCoreApplication application{argc, argv};
    const instant start = boot_clock::now();
    platform_service service;
    service.write_limit = make_rate_limit(chosen.writes_per_second, start);
    service.read_limit = make_rate_limit(chosen.reads_per_second, start);
    service.faults.latency = std::chrono::milliseconds{chosen.latency_ms};

    http_service server{[&](const http_request& request,
                            const pending_reply& to) {
        planned_reply planned = handle(service, request, boot_clock::now());
        const auto delay =
            std::chrono::duration_cast<std::chrono::milliseconds>(planned.delay
            );
        if (delay.count() == 0) {
            deliver(planned, to);
            return;
        }
        QTimer::singleShot(
            delay,
            Qt::PreciseTimer,
            &application,
            [planned = std::move(planned), to] {
                deliver(planned, to);
            }
        );
    }};
    server.listen_on(chosen.listen);
    on_termination(&QCoreApplication::quit);
    return QCoreApplication::exec();
}

} // namespace

int main(int argc, char** argv) {
    settings chosen;
    const options::options_description flags = describe(chosen);
    return run_program(argc, argv, flags, [&] {
        return run(argc, argv, chosen);
    });
}

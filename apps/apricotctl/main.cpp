// The operators' command line.
// Exit status: 0 done, 1 refused or not reachable, 2 bad command line or input,
// 3 another version came first, 4 not known whether applied, 5 members lag.

#include <apricotstile/command/exchange.hpp>
#include <apricotstile/command/log_commands.hpp>
#include <apricotstile/command/plan_commands.hpp>
#include <apricotstile/settings/daemon_settings.hpp>

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fmt/ostream.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace options = boost::program_options;
using namespace apricotstile;

constexpr int exit_refused = 1;
constexpr int exit_bad_input = 2;
// An apply is settled or given up within 30 s.
constexpr int call_timeout_ms = 40000;
constexpr int first_error_status = 300;

constexpr auto usage = R"(apricotctl COMMAND [ARGUMENTS]

  check-settings FILE   check a daemon's settings
  dump                  print a daemon's state as JSON
  metrics               print a daemon's metrics
  drain                 stop a daemon gracefully
  check CUSTOMERS PLANS check the two lists, offline
  diff OLD-CUSTOMERS OLD-PLANS CUSTOMERS PLANS
                        print what changes between two states of the lists
  apply CUSTOMERS PLANS --based-on VERSION [--wait SECONDS] [--id ID]
                        put the lists in force if VERSION still is
  status                print the version in force and the members that lag
  explain ID [LOG...]   print a request's way from daemons' logs, or from
                        standard input
  reasons [LOG...]      sum up why requests were not answered

)";

struct invocation {
    std::string command;
    std::vector<std::string> arguments;
    std::string daemon_address;
    std::string token;
    command::output_format format{command::output_format::text};
    std::uint64_t based_on{0};
    std::uint64_t id{0};
    int wait_seconds{0};
    bool names_base{false};
};

struct answer {
    int status{0};
    std::string body;
    std::string error;
};

answer call(
    const invocation& what,
    const std::string& method,
    const std::string& path,
    const std::string& body = {}
) {
    QNetworkAccessManager network;
    QNetworkRequest request{QUrl{QString::fromStdString(
        fmt::format("http://{}{}", what.daemon_address, path)
    )}};
    request.setRawHeader(
        "Authorization", QByteArray::fromStdString("Bearer " + what.token)
    );
    request.setTransferTimeout(call_timeout_ms);
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    QNetworkReply* const reply = network.sendCustomRequest(
        request,
        QByteArray::fromStdString(method),
        QByteArray::fromStdString(body)
    );
    QEventLoop loop;
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    answer result;
    result.status =
        reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    result.body = reply->readAll().toStdString();
    result.error = reply->errorString().toStdString();
    return result;
}

int print_answer(const answer& got) {
    if (got.status == 0 || got.status >= first_error_status) {
        fmt::print(stderr, "apricotctl: {}\n", got.error);
        return exit_refused;
    }
    fmt::print("{}\n", got.body);
    return 0;
}

int check_settings(const invocation& what) {
    if (what.arguments.size() != 1) {
        throw options::error{"check-settings takes one file"};
    }
    try {
        [[maybe_unused]] const auto read =
            settings::read_settings(what.arguments.front());
    } catch (const settings::settings_error& error) {
        fmt::print(stderr, "{}\n", error.what());
        return exit_bad_input;
    }
    fmt::print("{}: no problems\n", what.arguments.front());
    return 0;
}

plan::list_text read_list(const std::string& file) {
    std::ifstream stream{file, std::ios::binary};
    if (!stream) {
        throw options::error{"can't read " + file};
    }
    return {file, {std::istreambuf_iterator<char>{stream}, {}}};
}

plan::list_texts read_lists(const invocation& what, std::size_t first) {
    return {
        read_list(what.arguments.at(first)),
        read_list(what.arguments.at(first + 1))};
}

void expect_files(const invocation& what, std::size_t count) {
    if (what.arguments.size() != count) {
        throw options::error{
            fmt::format("{} takes {} files", what.command, count)};
    }
}

int show(const command::command_result& result) {
    fmt::print("{}", result.output);
    return static_cast<int>(result.status);
}

bool succeeded(const answer& got) {
    return got.status != 0 && got.status < first_error_status;
}

command::command_result read_status(const invocation& what) {
    const answer got = call(what, "GET", "/plans/status");
    if (!succeeded(got)) {
        return {command::exit_status::refused, got.error + "\n"};
    }
    return show_status(command::read_status(got.body), what.format);
}

/// Reads the status until no member lags or the time is up.
command::command_result wait_in_force(const invocation& what) {
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::seconds{what.wait_seconds};
    command::command_result result = read_status(what);
    while (result.status != command::exit_status::done &&
           std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds{500});
        result = read_status(what);
    }
    return result;
}

std::uint64_t random_id() {
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>{1}(device);
}

/// An answer that was lost leaves open whether the lists were applied.
int unsettled(const command::apply_order& order, const std::string& error) {
    fmt::print(
        stderr,
        "apricotctl: {}\napply again with --id {} to learn\n",
        error,
        order.id.value
    );
    return static_cast<int>(command::exit_status::unsettled);
}

int apply(const invocation& what) {
    expect_files(what, 2);
    if (!what.names_base) {
        throw options::error{"apply needs --based-on VERSION"};
    }
    const command::apply_order order{
        {what.id != 0 ? what.id : random_id()},
        {what.based_on},
        read_lists(what, 0)};
    const auto checked = run_check(order.texts, what.format);
    if (checked.status != command::exit_status::done) {
        return show(checked);
    }
    const answer got =
        call(what, "POST", "/plans/apply", command::write_order(order));
    if (got.status == 0) {
        return unsettled(order, got.error);
    }
    if (!succeeded(got)) {
        return print_answer(got);
    }
    const auto report =
        show_report(command::read_report(got.body), what.format);
    const int exit = show(report);
    const bool wait =
        report.status == command::exit_status::done && what.wait_seconds > 0;
    return wait ? show(wait_in_force(what)) : exit;
}

/// Reports over the log files named, or over standard input.
int report_on_logs(const invocation& what) {
    const bool explains = what.command == "explain";
    if (explains && what.arguments.empty()) {
        throw options::error{"explain needs the request's id"};
    }
    std::vector<std::ifstream> files;
    for (std::size_t i = explains ? 1 : 0; i < what.arguments.size(); ++i) {
        files.emplace_back(what.arguments[i]);
        if (!files.back()) {
            throw options::error{"can't read " + what.arguments[i]};
        }
    }
    std::vector<std::istream*> logs;
    for (std::ifstream& file : files) {
        logs.push_back(&file);
    }
    if (logs.empty()) {
        logs.push_back(&std::cin);
    }
    const command::log_report report =
        explains ? command::explain_request(what.arguments.front(), logs)
                 : command::sum_up_reasons(logs);
    fmt::print("{}", report.text);
    fmt::print(
        stderr,
        "{} lines, {} lines of others passed over\n",
        report.lines,
        report.foreign_lines
    );
    return report.lines == 0 ? exit_refused : 0;
}

int run_plan_command(const invocation& what) {
    if (what.command == "check") {
        expect_files(what, 2);
        return show(run_check(read_lists(what, 0), what.format));
    }
    if (what.command == "diff") {
        expect_files(what, 4);
        return show(
            run_diff(read_lists(what, 0), read_lists(what, 2), what.format)
        );
    }
    if (what.command == "apply") {
        return apply(what);
    }
    if (what.command == "status") {
        return show(read_status(what));
    }
    throw options::error{"no such command: " + what.command};
}

int run(const invocation& what) {
    if (what.command == "explain" || what.command == "reasons") {
        return report_on_logs(what);
    }
    if (what.command == "check-settings") {
        return check_settings(what);
    }
    if (what.command == "dump") {
        return print_answer(call(what, "GET", "/dump"));
    }
    if (what.command == "metrics") {
        return print_answer(call(what, "GET", "/metrics"));
    }
    if (what.command == "drain") {
        return print_answer(call(what, "POST", "/drain"));
    }
    return run_plan_command(what);
}

options::options_description visible_options() {
    options::options_description description{"Options"};
    description.add_options()("help,h", "print this and exit")(
        "version", "print the version and exit"
    )("daemon,d",
      options::value<std::string>()->default_value("127.0.0.1:7002"),
      "operators' address of a daemon"
    )("token,t",
      options::value<std::string>()->default_value(""),
      "operators' token; APRICOTCTL_TOKEN in the environment is used "
      "when it is absent")("json", "print JSON instead of text")(
        "based-on",
        options::value<std::uint64_t>(),
        "the version that the lists were edited from; 0 for the first"
    )("id",
      options::value<std::uint64_t>()->default_value(0),
      "of an earlier apply whose end isn't known"
    )("wait",
      options::value<int>()->default_value(0),
      "seconds to wait until the version is in force on all members");
    return description;
}

options::variables_map
parse_values(int argc, char** argv, const options::options_description& seen) {
    options::options_description all;
    all.add(seen).add_options()("command", options::value<std::string>())(
        "arguments", options::value<std::vector<std::string>>()
    );
    options::positional_options_description positions;
    positions.add("command", 1).add("arguments", -1);
    options::variables_map values;
    options::store(
        options::command_line_parser(argc, argv)
            .options(all)
            .positional(positions)
            .run(),
        values
    );
    return values;
}

invocation to_invocation(const options::variables_map& values) {
    if (!values.contains("command")) {
        throw options::error{"a command is required; see --help"};
    }
    invocation what;
    what.command = values["command"].as<std::string>();
    if (values.contains("arguments")) {
        what.arguments = values["arguments"].as<std::vector<std::string>>();
    }
    what.daemon_address = values["daemon"].as<std::string>();
    what.token = values["token"].as<std::string>();
    if (values.contains("json")) {
        what.format = command::output_format::json;
    }
    what.names_base = values.contains("based-on");
    if (what.names_base) {
        what.based_on = values["based-on"].as<std::uint64_t>();
    }
    what.id = values["id"].as<std::uint64_t>();
    what.wait_seconds = values["wait"].as<int>();
    if (what.token.empty()) {
        what.token = qEnvironmentVariable("APRICOTCTL_TOKEN").toStdString();
    }
    return what;
}

} // namespace

int main(int argc, char** argv) {
    const QCoreApplication application{argc, argv};
    const options::options_description visible = visible_options();
    try {
        const options::variables_map values = parse_values(argc, argv, visible);
        if (values.contains("help")) {
            fmt::print("{}{}", usage, fmt::streamed(visible));
            return 0;
        }
        if (values.contains("version")) {
            fmt::print("apricotctl {}\n", APRICOTSTILE_VERSION);
            return 0;
        }
        return run(to_invocation(values));
    } catch (const command::exchange_error& error) {
        fmt::print(stderr, "apricotctl: {}\n", error.what());
        return exit_refused;
    } catch (const options::error& error) {
        fmt::print(stderr, "apricotctl: {}\n", error.what());
        return exit_bad_input;
    }
}

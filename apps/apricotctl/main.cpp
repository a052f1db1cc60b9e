// The operators' command line.
// Exit status: 0 done, 1 refused or not reachable, 2 bad command line or input.

#include <apricotstile/settings/daemon_settings.hpp>

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fmt/ostream.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>

#include <cstdio>
#include <string>
#include <vector>

namespace {

namespace options = boost::program_options;
using namespace apricotstile;

constexpr int exit_refused = 1;
constexpr int exit_bad_input = 2;
constexpr int call_timeout_ms = 10000;

constexpr auto usage = R"(apricotctl COMMAND [ARGUMENTS]

  check-settings FILE   check a daemon's settings
  dump                  print a daemon's state as JSON
  metrics               print a daemon's metrics
  drain                 stop a daemon gracefully

)";

struct invocation {
    std::string command;
    std::vector<std::string> arguments;
    std::string daemon_address;
    std::string token;
};

struct answer {
    int status{0};
    std::string body;
    std::string error;
};

answer call(
    const invocation& what, const std::string& method, const std::string& path
) {
    QNetworkAccessManager network;
    QNetworkRequest request{QUrl{QString::fromStdString(
        fmt::format("http://{}{}", what.daemon_address, path)
    )}};
    request.setRawHeader(
        "Authorization", QByteArray::fromStdString("Bearer " + what.token)
    );
    request.setTransferTimeout(call_timeout_ms);
    QNetworkReply* const reply =
        network.sendCustomRequest(request, QByteArray::fromStdString(method));
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
    constexpr int first_error_status = 300;
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

int run(const invocation& what) {
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
    throw options::error{"no such command: " + what.command};
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
      "when it is absent");
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
    } catch (const options::error& error) {
        fmt::print(stderr, "apricotctl: {}\n", error.what());
        return exit_bad_input;
    }
}

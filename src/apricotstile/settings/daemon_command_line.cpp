// Options by Boost.Program_options.

#include <apricotstile/settings/daemon_command_line.hpp>

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fmt/ostream.h>

namespace apricotstile::settings {

namespace options = boost::program_options;

daemon_command_line parse_daemon_command_line(
    int argc, const char* const* argv, const daemon_program& program
) {
    options::options_description description{
        fmt::format("{} {}\nOptions", program.name, program.purpose)};
    auto* const settings = options::value<std::string>();
    if (!program.default_settings.empty()) {
        settings->default_value(program.default_settings);
    }
    description.add_options()("help,h", "print this and exit")(
        "version", "print the version and exit"
    )("settings,s", settings, program.settings_help.c_str());
    options::variables_map values;
    options::store(
        options::parse_command_line(argc, argv, description), values
    );
    if (values.contains("help")) {
        fmt::print("{}", fmt::streamed(description));
        return {{}, true};
    }
    if (values.contains("version")) {
        fmt::print("{} {}\n", program.name, program.version);
        return {{}, true};
    }
    if (!values.contains("settings")) {
        throw options::error{program.missing_settings};
    }
    return {values["settings"].as<std::string>(), false};
}

} // namespace apricotstile::settings

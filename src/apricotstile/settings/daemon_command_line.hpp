// The command line that the daemons share.

#ifndef APRICOTSTILE_SETTINGS_DAEMON_COMMAND_LINE_HPP
#define APRICOTSTILE_SETTINGS_DAEMON_COMMAND_LINE_HPP

#include <string>

namespace apricotstile::settings {

/// What distinguishes one daemon's command line from another's.
struct daemon_program {
    std::string name;
    std::string version;
    /// Completes "NAME ..." in the help.
    std::string purpose;
    /// Of the option `--settings`.
    std::string settings_help;
    /// The error where no file is named.
    std::string missing_settings;
    /// The file where the option is left out; empty where there is none.
    std::string default_settings;
};

struct daemon_command_line {
    std::string settings_file;
    /// Help or version was printed, and nothing is left to do.
    bool done{false};
};

/// Throws `boost::program_options::error` for a bad command line.
[[nodiscard]] daemon_command_line parse_daemon_command_line(
    int argc, const char* const* argv, const daemon_program& program
);

} // namespace apricotstile::settings

#endif

// What a command prints and the status that it exits with.

#ifndef APRICOTSTILE_COMMAND_COMMAND_RESULT_HPP
#define APRICOTSTILE_COMMAND_COMMAND_RESULT_HPP

#include <string>

namespace apricotstile::command {

enum class exit_status : int {
    done = 0,
    /// Refused, or the daemon isn't reachable; nothing was changed.
    refused = 1,
    /// Bad command line, or lists with errors.
    bad_input = 2,
    /// Another version came first; nothing was changed.
    lost_race = 3,
    /// It isn't known whether the lists were applied.
    unsettled = 4,
    /// Applied, but some members lag or don't answer.
    lagging = 5
};

enum class output_format { text, json };

struct command_result {
    exit_status status{exit_status::done};
    /// For standard output, ending with a line feed when not empty.
    std::string output;
};

} // namespace apricotstile::command

#endif

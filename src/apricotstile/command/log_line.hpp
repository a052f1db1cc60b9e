// A line of a daemon's log, read back.

#ifndef APRICOTSTILE_COMMAND_LOG_LINE_HPP
#define APRICOTSTILE_COMMAND_LOG_LINE_HPP

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace apricotstile::command {

struct log_line {
    /// As written: sorts by time.
    std::string time;
    std::string level;
    /// The part that wrote it.
    std::string part;
    std::string sentence;
    std::map<std::string, std::string> fields;
    /// What a collector put before the line, for example the host's name.
    std::string source;
};

/// Nothing for text that no daemon wrote.
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text);

} // namespace apricotstile::command

#endif

// What the daemons' logs say of one request, and why requests fail.

#ifndef APRICOTSTILE_COMMAND_LOG_COMMANDS_HPP
#define APRICOTSTILE_COMMAND_LOG_COMMANDS_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace apricotstile::command {

struct log_report {
    std::string text;
    /// Lines that no daemon wrote; they are passed over.
    std::size_t foreign_lines{0};
    /// Lines that the report is about.
    std::size_t lines{0};
};

/// The lines about request `id` in the order of their times, the one that
/// decided its answer marked with '>'. Requests that it made count too.
[[nodiscard]] log_report
explain_request(const std::string& id, const std::vector<std::istream*>& logs);

/// How often each status was answered for which reason and after which
/// attempts, the most frequent first.
[[nodiscard]] log_report sum_up_reasons(const std::vector<std::istream*>& logs);

} // namespace apricotstile::command

#endif

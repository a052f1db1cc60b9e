// The commands on the two lists, apart from files and the network.

#ifndef APRICOTSTILE_COMMAND_PLAN_COMMANDS_HPP
#define APRICOTSTILE_COMMAND_PLAN_COMMANDS_HPP

#include <apricotstile/command/command_result.hpp>
#include <apricotstile/plan/apply_report.hpp>
#include <apricotstile/plan/check.hpp>
#include <apricotstile/plan/status.hpp>

namespace apricotstile::command {

/// `check`: all findings; `bad_input` when one is an error.
[[nodiscard]] command_result
run_check(const plan::list_texts& texts, output_format format);

/// `diff`: what leads from the first lists to the second.
[[nodiscard]] command_result run_diff(
    const plan::list_texts& from,
    const plan::list_texts& to,
    output_format format
);

/// `apply`: what a daemon reported.
[[nodiscard]] command_result
show_report(const plan::apply_report& report, output_format format);

/// `status`, and the end of `apply --wait`: `lagging` when not every member
/// has the version in force.
[[nodiscard]] command_result
show_status(const plan::plan_status& status, output_format format);

} // namespace apricotstile::command

#endif

// Text and JSON of the plan commands.

#include <apricotstile/command/internal/output.hpp>
#include <apricotstile/command/plan_commands.hpp>

#include <fmt/format.h>

namespace apricotstile::command {

namespace {

using nlohmann::json;

std::string as_text(const json& value) {
    return value.dump(2) + "\n";
}

command_result
show_findings(const plan::check_result& checked, output_format format) {
    command_result result;
    if (!checked.accepted) {
        result.status = exit_status::bad_input;
    }
    if (format == output_format::json) {
        json findings = json::array();
        for (const plan::finding& one : checked.findings) {
            findings.push_back(internal::to_json(one));
        }
        result.output = as_text(
            {{"accepted", checked.accepted},
             {"customers", checked.lists.customers.size()},
             {"plans", checked.lists.plans.plans.size()},
             {"findings", findings}}
        );
        return result;
    }
    for (const plan::finding& one : checked.findings) {
        result.output += plan::to_string(one) + "\n";
    }
    if (checked.accepted) {
        result.output += fmt::format(
            "{} customers and {} plans: no errors\n",
            checked.lists.customers.size(),
            checked.lists.plans.plans.size()
        );
    }
    return result;
}

std::string
change_line(std::string_view kind, const std::string& name, const json& value) {
    if (value.is_null()) {
        return fmt::format("- {} {}\n", kind, name);
    }
    return fmt::format("+ {} {}: {}\n", kind, name, value.dump());
}

std::string difference_text(const plan::plan_difference& difference) {
    const json value = internal::to_json(difference);
    std::string text;
    for (const auto& [name, plan] : value["plans"].items()) {
        text += change_line("plan", name, plan);
    }
    for (const auto& [name, plan] : value["customers"].items()) {
        text += change_line("customer", name, plan);
    }
    for (const auto& [name, one] : value["upstream_capacity"].items()) {
        text += change_line("upstream_capacity", name, one);
    }
    return text;
}

exit_status exit_status_of(plan::apply_status status) {
    switch (status) {
    case plan::apply_status::applied:
        return exit_status::done;
    case plan::apply_status::lost_race:
        return exit_status::lost_race;
    case plan::apply_status::not_applied:
        return exit_status::refused;
    case plan::apply_status::unsettled:
        return exit_status::unsettled;
    }
    return exit_status::unsettled;
}

std::string report_text(const plan::apply_report& report) {
    switch (report.status) {
    case plan::apply_status::applied:
        return fmt::format("applied as version {}\n", report.version.value);
    case plan::apply_status::lost_race:
        return fmt::format(
            "not applied: version {} is in force\n", report.version.value
        );
    case plan::apply_status::not_applied:
        return "not applied: the platform's store did not answer\n";
    case plan::apply_status::unsettled:
        return fmt::format(
            "unsettled: apply again with --id {} to learn\n", report.id.value
        );
    }
    return {};
}

} // namespace

command_result run_check(const plan::list_texts& texts, output_format format) {
    return show_findings(plan::check(texts), format);
}

command_result run_diff(
    const plan::list_texts& from,
    const plan::list_texts& to,
    output_format format
) {
    const plan::check_result before = plan::check(from);
    if (!before.accepted) {
        return show_findings(before, format);
    }
    const plan::check_result after = plan::check(to);
    if (!after.accepted) {
        return show_findings(after, format);
    }
    const auto difference = difference_between(before.lists, after.lists);
    const std::string output = format == output_format::json
                                   ? as_text(internal::to_json(difference))
                                   : difference_text(difference);
    return {exit_status::done, output};
}

command_result
show_report(const plan::apply_report& report, output_format format) {
    const exit_status status = exit_status_of(report.status);
    if (format == output_format::json) {
        return {status, as_text(internal::to_json(report))};
    }
    std::string text = report_text(report);
    if (report.changed_since_base) {
        text += "changed since the version that it was based on:\n";
        text += difference_text(*report.changed_since_base);
    }
    return {status, text};
}

command_result
show_status(const plan::plan_status& status, output_format format) {
    const bool everywhere =
        status.version != plan_version{} && status.lagging.empty();
    const exit_status exit =
        everywhere ? exit_status::done : exit_status::lagging;
    const json value = internal::to_json(status);
    if (format == output_format::json) {
        return {exit, as_text(value)};
    }
    std::string text = fmt::format(
        "version {} is in force on {} of {} members\n",
        status.version.value,
        status.in_force,
        status.members
    );
    for (const json& one : value["lagging"]) {
        text += fmt::format(
            "lagging: {} at version {}\n",
            one["member"].get<std::string>(),
            one["version"].get<std::uint64_t>()
        );
    }
    return {exit, text};
}

} // namespace apricotstile::command

// Reports over log lines.

#include <apricotstile/command/log_commands.hpp>

#include <apricotstile/command/log_line.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <istream>
#include <iterator>
#include <map>

namespace apricotstile::command {

namespace {

std::string field_of(const log_line& line, const std::string& key) {
    const auto found = line.fields.find(key);
    return found == line.fields.end() ? std::string{} : found->second;
}

/// Whether `request` is `id` or a nested request of it, whose ids begin with
/// their parent's.
bool is_about(const std::string& request, const std::string& id) {
    return request == id || request.starts_with(id + ".");
}

/// The lines for which `wanted` holds.
template <class Wanted>
std::vector<log_line> lines_of(
    const std::vector<std::istream*>& logs, log_report& report, Wanted wanted
) {
    std::vector<log_line> result;
    std::string text;
    for (std::istream* const log : logs) {
        while (std::getline(*log, text)) {
            std::optional<log_line> line = parse_log_line(text);
            if (!line) {
                ++report.foreign_lines;
            } else if (wanted(*line)) {
                result.push_back(std::move(*line));
            }
        }
    }
    report.lines = result.size();
    return result;
}

/// Attempts without the hosts' addresses, and repeated ones once.
std::string attempts_in_short(const std::string& attempts) {
    std::string result;
    std::string last;
    std::size_t begin = 0;
    while (begin < attempts.size()) {
        const std::size_t end =
            std::min(attempts.find(',', begin), attempts.size());
        const std::string one = attempts.substr(begin, end - begin);
        const std::string outcome = one.substr(one.rfind(':') + 1);
        if (outcome != last) {
            result += (result.empty() ? "" : ",") + outcome;
        }
        last = outcome;
        begin = end + 1;
    }
    return result.empty() ? "none" : result;
}

} // namespace

log_report
explain_request(const std::string& id, const std::vector<std::istream*>& logs) {
    log_report report;
    std::vector<log_line> lines =
        lines_of(logs, report, [&](const log_line& line) {
            return is_about(field_of(line, "request"), id);
        });
    std::stable_sort(
        lines.begin(),
        lines.end(),
        [](const log_line& left, const log_line& right) {
            return left.time < right.time;
        }
    );
    const auto decisive =
        std::find_if(lines.rbegin(), lines.rend(), [&](const log_line& line) {
            return line.part == "ingress" && field_of(line, "request") == id;
        });
    for (const log_line& line : lines) {
        const bool is_decisive =
            decisive != lines.rend() && &line == &*decisive;
        fmt::format_to(
            std::back_inserter(report.text),
            "{} {} {} [{}] {}",
            is_decisive ? '>' : ' ',
            line.time,
            line.source,
            line.part,
            line.sentence
        );
        for (const auto& [key, value] : line.fields) {
            fmt::format_to(
                std::back_inserter(report.text), " {}={}", key, value
            );
        }
        report.text += '\n';
    }
    return report;
}

log_report sum_up_reasons(const std::vector<std::istream*>& logs) {
    log_report report;
    const std::vector<log_line> lines =
        lines_of(logs, report, [](const log_line& line) {
            return line.part == "ingress" && line.fields.contains("reason");
        });
    std::map<std::string, std::size_t> counts;
    for (const log_line& line : lines) {
        ++counts[fmt::format(
            "status={} reason={} attempts={}",
            field_of(line, "status"),
            field_of(line, "reason"),
            attempts_in_short(field_of(line, "attempts"))
        )];
    }
    std::vector<std::pair<std::size_t, std::string>> sorted;
    for (const auto& [what, count] : counts) {
        sorted.emplace_back(count, what);
    }
    std::sort(sorted.rbegin(), sorted.rend());
    for (const auto& [count, what] : sorted) {
        fmt::format_to(
            std::back_inserter(report.text), "{:7} {}\n", count, what
        );
    }
    return report;
}

} // namespace apricotstile::command

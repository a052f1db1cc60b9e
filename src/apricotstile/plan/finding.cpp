// Formatting of findings.

#include <apricotstile/plan/finding.hpp>

#include <fmt/format.h>

namespace apricotstile::plan {

std::string_view to_string(severity value) {
    return value == severity::error ? "error" : "warning";
}

std::string to_string(const finding& value) {
    return fmt::format(
        "{}:{}: {}: {}: expected {}, found {}",
        value.file,
        value.line,
        to_string(value.severity),
        value.path.empty() ? "/" : value.path,
        value.expected,
        value.found
    );
}

} // namespace apricotstile::plan

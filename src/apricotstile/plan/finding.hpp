// An error or a warning about the customer list or the plan list.

#ifndef APRICOTSTILE_PLAN_FINDING_HPP
#define APRICOTSTILE_PLAN_FINDING_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace apricotstile::plan {

enum class severity : std::uint8_t { error, warning };

struct finding {
    plan::severity severity{severity::error};
    /// The file name that was passed to `check`.
    std::string file;
    /// Counted from one.
    std::uint64_t line{0};
    /// JSON pointer (RFC 6901) to the value, empty for the whole file.
    std::string path;
    std::string expected;
    std::string found;

    friend bool operator==(const finding&, const finding&) = default;
};

[[nodiscard]] std::string_view to_string(severity value);

/// One line: `FILE:LINE: error: PATH: expected ..., found ...`.
[[nodiscard]] std::string to_string(const finding& value);

} // namespace apricotstile::plan

#endif

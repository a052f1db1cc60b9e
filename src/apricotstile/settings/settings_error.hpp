// What is wrong with a settings file.

#ifndef APRICOTSTILE_SETTINGS_SETTINGS_ERROR_HPP
#define APRICOTSTILE_SETTINGS_SETTINGS_ERROR_HPP

#include <stdexcept>
#include <string>
#include <vector>

namespace apricotstile::settings {

/// One error in a settings file.
struct problem {
    std::string file;
    /// JSON pointer such as "/listen/callers", or "line N" for bad syntax.
    std::string where;
    /// What was expected.
    std::string expected;
};

/// "file: where: expected".
[[nodiscard]] std::string to_string(const problem& value);

/// Thrown with all problems of a file, at least one.
struct settings_error : std::runtime_error {
    explicit settings_error(std::vector<problem> found);

    std::vector<problem> problems;
};

} // namespace apricotstile::settings

#endif

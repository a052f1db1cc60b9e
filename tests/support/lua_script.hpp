// Scenarios in Lua: a script that calls functions of a test and fails it by
// Lua's own `assert` and `error`.

#ifndef APRICOTSTILE_TESTS_SUPPORT_LUA_SCRIPT_HPP
#define APRICOTSTILE_TESTS_SUPPORT_LUA_SCRIPT_HPP

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace apricotstile::tests {

/// Thrown by `run_script` with Lua's message and traceback.
struct script_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// What passes between a script and a test; empty is `nil`.
using script_value = std::variant<std::monostate, bool, double, std::string>;

using script_arguments = std::vector<script_value>;

/// A function of the test. It may throw; the script then fails with the
/// exception's message.
using script_function = std::function<script_value(const script_arguments&)>;

/// Runs the file `path` with `functions` as its globals beside Lua's base and
/// string libraries.
void run_script(
    const std::string& path,
    const std::map<std::string, script_function>& functions
);

} // namespace apricotstile::tests

#endif

// Reads typed fields out of a JSON object and collects every problem.

#ifndef APRICOTSTILE_SETTINGS_JSON_FIELDS_HPP
#define APRICOTSTILE_SETTINGS_JSON_FIELDS_HPP

#include <apricotstile/host/address.hpp>
#include <apricotstile/settings/settings_error.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace apricotstile::settings {

/// Parses JSON with comments. Throws `settings_error` that names the line.
[[nodiscard]] nlohmann::json
parse_json(std::string_view text, const std::string& file);

/// The text of a file. Throws `settings_error` where it can't be read.
[[nodiscard]] std::string read_text(const std::string& file);

/// Reads one JSON object. Fields that were never asked for are unknown keys.
class json_fields {
public:
    /// `problems` outlives this reader.
    json_fields(
        const nlohmann::json& object,
        std::string file,
        std::string path,
        std::vector<problem>& problems
    );

    [[nodiscard]] bool has(const std::string& key);
    /// Whether the key is there and its value isn't null.
    [[nodiscard]] bool has_value(const std::string& key);
    /// The nested object, or an empty one with a problem noted.
    [[nodiscard]] json_fields object(const std::string& key);
    [[nodiscard]] std::string
    text(const std::string& key, std::size_t least_length);
    [[nodiscard]] apricotstile::address address(const std::string& key);
    [[nodiscard]] std::vector<apricotstile::address>
    addresses(const std::string& key);
    /// A number of at least zero and at most `most`.
    [[nodiscard]] double
    number(const std::string& key, double fallback, double most);
    /// The same, or nothing if the key is absent or its value is null.
    [[nodiscard]] std::optional<double>
    optional_number(const std::string& key, double most);
    /// One of `words`; the first when the key is absent.
    [[nodiscard]] std::string
    word(const std::string& key, const std::vector<std::string>& words);
    [[nodiscard]] std::vector<std::string> keys() const;

    /// Notes a problem for each key that was never asked for.
    void refuse_unknown_keys();
    void add_problem(const std::string& key, const std::string& expected);

private:
    const nlohmann::json* find(const std::string& key);

    nlohmann::json fields;
    std::string file;
    std::string path;
    std::vector<problem>& problems;
    std::set<std::string> asked;
};

} // namespace apricotstile::settings

#endif

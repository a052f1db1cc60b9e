// Parses JSON with comments into a tree that keeps line numbers and duplicate
// keys, which the JSON library's own tree drops.

#ifndef APRICOTSTILE_PLAN_INTERNAL_POSITIONED_JSON_HPP
#define APRICOTSTILE_PLAN_INTERNAL_POSITIONED_JSON_HPP

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace apricotstile::plan::internal {

enum class json_kind : std::uint8_t {
    null,
    boolean,
    integer,
    other_number,
    string,
    array,
    object
};

struct json_member;

struct json_value {
    json_kind kind{json_kind::null};
    std::uint64_t line{0};
    /// For `string` the value, for other scalars the text.
    std::string text;
    /// For `integer` only, which is never negative.
    std::uint64_t number{0};
    std::vector<json_value> elements;
    /// In the order of the text, duplicates included.
    std::vector<json_member> members;
};

struct json_member {
    std::string key;
    std::uint64_t line{0};
    json_value value;
};

struct json_syntax_error : std::runtime_error {
    json_syntax_error(const std::string& what, std::uint64_t at_line)
        : std::runtime_error{what}, line{at_line} {}

    std::uint64_t line;
};

/// Throws `json_syntax_error` at the first malformed token.
[[nodiscard]] json_value parse_positioned(std::string_view text);

/// A short description such as `string "a"` or `an object`.
[[nodiscard]] std::string describe(const json_value& value);

} // namespace apricotstile::plan::internal

#endif

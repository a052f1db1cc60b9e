// Reads single fields of a list and checks their ranges. Invalid values are
// reported as findings, and reading continues.

#ifndef APRICOTSTILE_PLAN_INTERNAL_FIELD_READER_HPP
#define APRICOTSTILE_PLAN_INTERNAL_FIELD_READER_HPP

#include <apricotstile/plan/internal/list_reader.hpp>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace apricotstile::plan::internal {

constexpr std::string_view expected_name =
    "a name of 1 to 128 letters, digits, '-', '_' or '.'";

struct number_range {
    std::uint64_t lowest{0};
    std::uint64_t highest{0};
};

/// A name of 1 to 128 letters, digits, '-', '_' or '.'.
[[nodiscard]] bool is_name(std::string_view text);

/// Reports a member whose key isn't a valid name.
void check_name(
    const json_member& member, const std::string& path, finding_sink& sink
);

/// Reports a value of another kind and returns false for it.
bool expect_kind(
    const json_value& value,
    json_kind kind,
    std::string_view expected,
    const std::string& path,
    finding_sink& sink
);

/// Reports members that repeat an earlier key of the same object.
void check_duplicates(
    const json_value& object, const std::string& path, finding_sink& sink
);

/// Reports members whose key isn't in `known`.
void check_known_keys(
    const json_value& object,
    std::initializer_list<std::string_view> known,
    const std::string& path,
    finding_sink& sink
);

/// Null when the object has no such member.
[[nodiscard]] const json_value*
find_member(const json_value& object, std::string_view key);

/// Reports a missing member and returns null for it.
[[nodiscard]] const json_value* find_required(
    const json_value& object,
    const std::string& key,
    const std::string& path,
    finding_sink& sink
);

/// Reports a value that isn't a whole number in the range.
[[nodiscard]] std::optional<std::uint64_t> read_number(
    const json_value& value,
    number_range range,
    const std::string& path,
    finding_sink& sink
);

/// Reports a missing or invalid number and returns the lowest of the range.
[[nodiscard]] std::uint64_t read_required_number(
    const json_value& object,
    const std::string& key,
    number_range range,
    const std::string& path,
    finding_sink& sink
);

/// Returns the fallback when absent; reports an invalid number and returns the
/// fallback for it.
[[nodiscard]] std::uint64_t read_optional_number(
    const json_value& object,
    const std::string& key,
    number_range range,
    std::uint64_t fallback,
    const std::string& path,
    finding_sink& sink
);

} // namespace apricotstile::plan::internal

#endif

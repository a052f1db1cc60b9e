// Checks of single fields.

#include <apricotstile/plan/internal/field_reader.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>

namespace apricotstile::plan::internal {

namespace {

constexpr std::size_t max_name_length = 128;

bool is_name_character(char c) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || c == '-' || c == '_' || c == '.';
}

} // namespace

std::string child_path(const std::string& parent, const std::string& key) {
    std::string path = parent + "/";
    for (const char c : key) {
        if (c == '~') {
            path += "~0";
        } else if (c == '/') {
            path += "~1";
        } else {
            path += c;
        }
    }
    return path;
}

void report(
    finding_sink& sink,
    std::uint64_t line,
    std::string path,
    std::string expected,
    std::string found
) {
    sink.findings.push_back(
        {severity::error,
         sink.file,
         line,
         std::move(path),
         std::move(expected),
         std::move(found)}
    );
}

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

void check_name(
    const json_member& member, const std::string& path, finding_sink& sink
) {
    if (!is_name(member.key)) {
        report(
            sink,
            member.line,
            path,
            std::string{expected_name},
            "\"" + member.key + "\""
        );
    }
}

bool expect_kind(
    const json_value& value,
    json_kind kind,
    std::string_view expected,
    const std::string& path,
    finding_sink& sink
) {
    if (value.kind == kind) {
        return true;
    }
    report(sink, value.line, path, std::string{expected}, describe(value));
    return false;
}

void check_duplicates(
    const json_value& object, const std::string& path, finding_sink& sink
) {
    std::unordered_map<std::string_view, std::uint64_t> lines;
    lines.reserve(object.members.size());
    for (const json_member& member : object.members) {
        const auto [entry, inserted] = lines.emplace(member.key, member.line);
        if (!inserted) {
            report(
                sink,
                member.line,
                child_path(path, member.key),
                "each key once",
                fmt::format("a duplicate of line {}", entry->second)
            );
        }
    }
}

void check_known_keys(
    const json_value& object,
    std::initializer_list<std::string_view> known,
    const std::string& path,
    finding_sink& sink
) {
    for (const json_member& member : object.members) {
        if (std::find(known.begin(), known.end(), member.key) != known.end()) {
            continue;
        }
        report(
            sink,
            member.line,
            child_path(path, member.key),
            fmt::format("one of {}", fmt::join(known, ", ")),
            "an unknown key"
        );
    }
}

const json_value* find_member(const json_value& object, std::string_view key) {
    for (const json_member& member : object.members) {
        if (member.key == key) {
            return &member.value;
        }
    }
    return nullptr;
}

const json_value* find_required(
    const json_value& object,
    const std::string& key,
    const std::string& path,
    finding_sink& sink
) {
    const json_value* found = find_member(object, key);
    if (found == nullptr) {
        report(sink, object.line, child_path(path, key), "this key", "nothing");
    }
    return found;
}

std::optional<std::uint64_t> read_number(
    const json_value& value,
    number_range range,
    const std::string& path,
    finding_sink& sink
) {
    const bool fits = value.kind == json_kind::integer &&
                      value.number >= range.lowest &&
                      value.number <= range.highest;
    if (fits) {
        return value.number;
    }
    report(
        sink,
        value.line,
        path,
        fmt::format(
            "a whole number from {} to {}", range.lowest, range.highest
        ),
        describe(value)
    );
    return std::nullopt;
}

std::uint64_t read_required_number(
    const json_value& object,
    const std::string& key,
    number_range range,
    const std::string& path,
    finding_sink& sink
) {
    const json_value* value = find_required(object, key, path, sink);
    if (value == nullptr) {
        return range.lowest;
    }
    return read_number(*value, range, child_path(path, key), sink)
        .value_or(range.lowest);
}

std::uint64_t read_optional_number(
    const json_value& object,
    const std::string& key,
    number_range range,
    std::uint64_t fallback,
    const std::string& path,
    finding_sink& sink
) {
    const json_value* value = find_member(object, key);
    if (value == nullptr) {
        return fallback;
    }
    return read_number(*value, range, child_path(path, key), sink)
        .value_or(fallback);
}

} // namespace apricotstile::plan::internal

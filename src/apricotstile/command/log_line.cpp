// Parsing of log lines.

#include <apricotstile/command/log_line.hpp>

#include <array>

namespace apricotstile::command {

namespace {

/// Takes the next word, quoted or not, off `text`.
std::string take_word(std::string_view& text, std::string_view ends) {
    std::string word;
    if (!text.starts_with('"')) {
        const std::size_t end = std::min(text.find_first_of(ends), text.size());
        word = text.substr(0, end);
        text.remove_prefix(end);
        return word;
    }
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\' && text.size() > 1) {
            text.remove_prefix(1);
        }
        word += text.front();
        text.remove_prefix(1);
    }
    if (!text.empty()) {
        text.remove_prefix(1);
    }
    return word;
}

/// Fields follow the sentence, whose end is the last ". " before the first
/// "key=".
void take_fields(std::string_view text, log_line& line) {
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) {
        line.sentence = text;
        return;
    }
    const std::size_t space = text.rfind(' ', equals);
    if (space == std::string_view::npos) {
        line.sentence = text;
        return;
    }
    line.sentence = text.substr(0, space);
    text.remove_prefix(space + 1);
    while (!text.empty()) {
        const std::string key = take_word(text, "= ");
        if (!text.starts_with('=')) {
            return;
        }
        text.remove_prefix(1);
        line.fields[key] = take_word(text, " ");
        while (text.starts_with(' ')) {
            text.remove_prefix(1);
        }
    }
}

} // namespace

std::optional<log_line> parse_log_line(std::string_view text) {
    constexpr std::array<std::string_view, 4> levels{
        " debug [", " info [", " warning [", " error ["};
    for (const std::string_view level : levels) {
        const std::size_t at = text.find(level);
        if (at == std::string_view::npos) {
            continue;
        }
        const std::size_t part = at + level.size();
        const std::size_t part_end = text.find("] ", part);
        if (part_end == std::string_view::npos) {
            return std::nullopt;
        }
        log_line line;
        const std::size_t time = text.rfind(' ', at - 1);
        const bool has_source = time != std::string_view::npos && at > 0;
        line.source = has_source ? text.substr(0, time) : std::string_view{};
        line.time = text.substr(
            has_source ? time + 1 : 0, at - (has_source ? time + 1 : 0)
        );
        line.level = level.substr(1, level.size() - 3);
        line.part = text.substr(part, part_end - part);
        take_fields(text.substr(part_end + 2), line);
        return line;
    }
    return std::nullopt;
}

} // namespace apricotstile::command

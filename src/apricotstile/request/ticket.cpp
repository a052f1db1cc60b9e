// Formats and parses tickets.

#include <apricotstile/request/ticket.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace apricotstile::request {

namespace {

/// Removes the number up to the next '.' or the end from the front of `text`.
template <class Number>
bool take_number(std::string_view& text, Number& number) {
    const std::string_view part = text.substr(0, text.find('.'));
    const char* const end = part.data() + part.size();
    const auto [stop, error] = std::from_chars(part.data(), end, number);
    if (error != std::errc{} || stop != end) {
        return false;
    }
    text.remove_prefix(std::min(part.size() + 1, text.size()));
    return true;
}

} // namespace

std::string to_text(const ticket& value) {
    return fmt::format(
        "1.{}.{}.{}", value.slice.value, value.token.value, value.issued.count()
    );
}

std::optional<ticket> parse_ticket(std::string_view text) {
    const std::string_view text_given = text;
    unsigned format = 0;
    std::uint32_t slice = 0;
    std::int64_t issued_ms = 0;
    ticket result;
    const bool valid = take_number(text, format) && format == 1 &&
                       take_number(text, slice) &&
                       take_number(text, result.token.value) &&
                       take_number(text, issued_ms) && text.empty();
    if (!valid || issued_ms < 0) {
        return std::nullopt;
    }
    result.slice.value = slice;
    result.issued = std::chrono::milliseconds{issued_ms};
    // Rejects other spellings, such as leading zeros or a trailing dot.
    if (to_text(result) != text_given) {
        return std::nullopt;
    }
    return result;
}

} // namespace apricotstile::request

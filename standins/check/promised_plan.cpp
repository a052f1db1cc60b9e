// Reads a plan from a flag.

#include <standins/check/promised_plan.hpp>

#include <charconv>
#include <stdexcept>

namespace apricotstile::standins {

namespace {

std::uint32_t number_in(const std::string& text) {
    std::uint32_t number = 0;
    const char* const last = text.data() + text.size();
    const auto result = std::from_chars(text.data(), last, number);
    if (result.ec != std::errc{} || result.ptr != last) {
        throw std::invalid_argument("not a number: '" + text + "'");
    }
    return number;
}

} // namespace

promised_plan parse_promised_plan(const std::string& text) {
    const std::size_t equals = text.rfind('=');
    const std::size_t plus = text.rfind('+');
    if (equals == std::string::npos || plus == std::string::npos ||
        plus < equals) {
        throw std::invalid_argument(
            "not CUSTOMER=PER_SECOND+BURST: '" + text + "'"
        );
    }
    return {
        text.substr(0, equals),
        number_in(text.substr(equals + 1, plus - equals - 1)),
        number_in(text.substr(plus + 1))};
}

} // namespace apricotstile::standins

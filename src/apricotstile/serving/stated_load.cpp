// Smoothing, ageing and checks of stated factors.

#include <apricotstile/serving/stated_load.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace apricotstile::serving {

namespace {

/// A neighbor's load was observed to last 0.4 s on average.
constexpr duration half_life = std::chrono::milliseconds{300};

/// A statement replaces half of the former ones' weight after this time, and
/// `min_weight` of it at least.
constexpr duration smoothing_half_life = std::chrono::milliseconds{50};
constexpr double min_weight = 0.3;

/// Factors outside of this range are taken for errors. With lower ones the
/// usual time could run backwards as the factor ages.
constexpr double min_factor = 0.1;
constexpr double max_factor = 100;

constexpr double percent = 0.01;

/// Observations take precedence if they differ by more than this factor.
constexpr double max_discrepancy = 4;

/// Weight of one request in the discrepancy: one in thirty takes seven times as
/// long, which must not make statements untrusted.
constexpr double discrepancy_weight = 1.0 / 16;

/// Number of requests before statements may be untrusted.
constexpr std::uint32_t min_compared = 8;

/// What remains of `weight` after `age`.
double decayed(double weight, duration age, duration weight_half_life) {
    const std::chrono::duration<double> passed = std::max(duration{0}, age);
    const std::chrono::duration<double> unit = weight_half_life;
    return weight * std::exp2(-(passed / unit));
}

/// Logarithm of the factor at `when`, as far as known from the statements.
double log_factor_at(const stated_load& load, instant when) {
    return load.log_factor == 0
               ? 0
               : decayed(load.log_factor, when - load.stated_at, half_life);
}

/// Adds the time since `advanced_at` at a factor with this logarithm.
void advance(stated_load& load, double log_factor, instant now) {
    const duration passed = std::max(duration{0}, now - load.advanced_at);
    load.usual_time +=
        log_factor == 0 ? passed : scaled(passed, std::exp(-log_factor));
    load.advanced_at = std::max(load.advanced_at, now);
}

double log_ratio(duration left, duration right) {
    const std::chrono::duration<double> divisor = right;
    return std::log(std::chrono::duration<double>{left} / divisor);
}

bool is_separator(char one) {
    return one == ',' || one == ';' || one == '/' || one == ' ' || one == '\t';
}

/// The number at the start of `text`, which is removed with the separators that
/// follow. Nothing if there is none, or it is negative or not finite.
std::optional<double> take_number(std::string_view& text) {
    double value = 0;
    const char* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    if (read.ec != std::errc{} || !std::isfinite(value) || value < 0 ||
        (read.ptr != end && !is_separator(*read.ptr))) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(read.ptr - text.data()));
    while (!text.empty() && is_separator(text.front())) {
        text.remove_prefix(1);
    }
    return value;
}

} // namespace

std::optional<stated_figures> parse_stated_load(std::string_view text) {
    constexpr double max_count = 1e9;
    std::array<std::uint32_t, 3> counts{};
    for (std::uint32_t& count : counts) {
        const auto number = take_number(text);
        if (!number || *number > max_count) {
            return std::nullopt;
        }
        count = static_cast<std::uint32_t>(*number);
    }
    stated_figures result{counts[0], counts[1], counts[2], {}};
    if (text.empty()) {
        return result;
    }
    const auto number = take_number(text);
    if (!number || !text.empty() || *number * percent < min_factor ||
        *number * percent > max_factor) {
        return std::nullopt;
    }
    result.factor = *number * percent;
    return result;
}

void note_stated_factor(stated_load& load, double factor, instant now) {
    const double stated = std::log(std::clamp(factor, min_factor, max_factor));
    const duration age = now - load.stated_at;
    // The factor changed at some moment since the last statement. The older
    // that is, the less does it say of the time in between.
    const double former_weight = decayed(1, age, half_life);
    advance(
        load,
        (load.log_factor * former_weight + stated) / (former_weight + 1),
        now
    );
    const double weight =
        std::max(min_weight, 1 - decayed(1, age, smoothing_half_life));
    load.log_factor += (stated - load.log_factor) * weight;
    load.stated_at = now;
}

bool is_trusted(const stated_load& load) {
    return load.compared < min_compared ||
           std::abs(load.discrepancy) <= std::log(max_discrepancy);
}

double factor_now(const stated_load& load, instant now) {
    return is_trusted(load) ? std::exp(log_factor_at(load, now)) : 1;
}

duration read_usual_time(stated_load& load, instant now) {
    const instant middle =
        load.advanced_at + std::max(duration{0}, now - load.advanced_at) / 2;
    advance(load, log_factor_at(load, middle), now);
    return load.usual_time;
}

duration service_time_to_record(
    stated_load& load, duration observed, duration usual, duration mean
) {
    if (usual <= duration{0} || observed == usual) {
        return observed;
    }
    if (mean <= duration{0}) {
        return usual;
    }
    const double difference = log_ratio(usual, mean);
    load.discrepancy += (difference - load.discrepancy) * discrepancy_weight;
    ++load.compared;
    // A mean that followed wrong statements would soon agree with them.
    const bool is_doubtful =
        std::abs(difference) > std::log(max_discrepancy) &&
        std::abs(log_ratio(observed, mean)) < std::abs(difference);
    return is_trusted(load) && !is_doubtful ? usual : observed;
}

} // namespace apricotstile::serving

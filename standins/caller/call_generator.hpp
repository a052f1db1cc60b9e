// Draws calls: a mix of services, customers and skewed keys.

#ifndef APRICOTSTILE_STANDINS_CALLER_CALL_GENERATOR_HPP
#define APRICOTSTILE_STANDINS_CALLER_CALL_GENERATOR_HPP

#include <apricotstile/core/random.hpp>
#include <standins/caller/planned_call.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace apricotstile::standins {

struct weighted_name {
    std::string name;
    /// Relative to the others; not negative.
    double weight{1};
};

struct call_mix {
    /// Calls a second, with exponential gaps.
    double per_second{100};
    /// Share of calls that issue invoices; the rest are lookups.
    double invoice_share{0.2};
    /// Share of calls that hang up before their answer.
    double hang_up_share{0.01};
    std::vector<weighted_name> lookup_services;
    std::string invoice_service;
    std::vector<weighted_name> customers;
    std::uint32_t keys{2000};
    /// Key number k is drawn with weight 1 / k^skew.
    double skew{0.9};
};

struct call_generator {
    call_mix mix;
    /// Goes before every name, so that several callers can run at once.
    std::string name_prefix;
    random_source random;
    /// Cumulative weights of the keys.
    std::vector<double> key_weights;
    std::uint64_t last{0};
};

/// "NAME" or "NAME=WEIGHT"; throws std::invalid_argument.
[[nodiscard]] weighted_name parse_weighted(const std::string& text);

[[nodiscard]] call_generator make_call_generator(
    const call_mix& mix, const std::string& name_prefix, std::uint64_t seed
);

/// The time from one call to the next.
[[nodiscard]] duration draw_gap(call_generator& generator);

[[nodiscard]] planned_call draw_call(call_generator& generator);

} // namespace apricotstile::standins

#endif

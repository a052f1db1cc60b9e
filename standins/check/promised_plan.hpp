// What a customer may use, as the checker is told.

#ifndef APRICOTSTILE_STANDINS_CHECK_PROMISED_PLAN_HPP
#define APRICOTSTILE_STANDINS_CHECK_PROMISED_PLAN_HPP

#include <cstdint>
#include <string>

namespace apricotstile::standins {

struct promised_plan {
    std::string customer;
    std::uint32_t per_second{0};
    std::uint32_t burst{0};
};

/// "CUSTOMER=PER_SECOND+BURST"; throws std::invalid_argument.
[[nodiscard]] promised_plan parse_promised_plan(const std::string& text);

} // namespace apricotstile::standins

#endif

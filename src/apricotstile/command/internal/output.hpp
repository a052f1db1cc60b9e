// JSON forms of plans' structures, shared by output and exchange.

#ifndef APRICOTSTILE_COMMAND_INTERNAL_OUTPUT_HPP
#define APRICOTSTILE_COMMAND_INTERNAL_OUTPUT_HPP

#include <apricotstile/plan/apply_report.hpp>
#include <apricotstile/plan/finding.hpp>
#include <apricotstile/plan/status.hpp>

#include <nlohmann/json.hpp>

namespace apricotstile::command::internal {

[[nodiscard]] nlohmann::json to_json(const plan::finding& value);
[[nodiscard]] nlohmann::json to_json(const plan::plan_limits& value);
[[nodiscard]] nlohmann::json to_json(const plan::plan_difference& value);
[[nodiscard]] nlohmann::json to_json(const plan::apply_report& value);
[[nodiscard]] nlohmann::json to_json(const plan::plan_status& value);

/// Throw `nlohmann::json::exception` or `std::invalid_argument`.
[[nodiscard]] plan::plan_difference
difference_from_json(const nlohmann::json& value);
[[nodiscard]] plan::apply_report report_from_json(const nlohmann::json& value);
[[nodiscard]] plan::plan_status status_from_json(const nlohmann::json& value);

} // namespace apricotstile::command::internal

#endif

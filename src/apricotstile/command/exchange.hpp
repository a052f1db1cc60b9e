// The JSON that the command line and a daemon exchange under /plans/.
//
// POST /plans/apply takes an `apply_order` and answers an apply report once it
// is settled. GET /plans/status answers a status.

#ifndef APRICOTSTILE_COMMAND_EXCHANGE_HPP
#define APRICOTSTILE_COMMAND_EXCHANGE_HPP

#include <apricotstile/plan/apply_report.hpp>
#include <apricotstile/plan/check.hpp>
#include <apricotstile/plan/status.hpp>

#include <stdexcept>
#include <string>

namespace apricotstile::command {

/// Thrown by readers for text that isn't the expected JSON.
struct exchange_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The texts are sent as they stand; the daemon checks them again.
struct apply_order {
    /// Random; the same when an order is sent again.
    plan::apply_id id;
    plan_version based_on;
    plan::list_texts texts;
};

[[nodiscard]] std::string write_order(const apply_order& order);
[[nodiscard]] apply_order read_order(const std::string& text);

[[nodiscard]] std::string write_report(const plan::apply_report& report);
[[nodiscard]] plan::apply_report read_report(const std::string& text);

[[nodiscard]] std::string write_status(const plan::plan_status& status);
[[nodiscard]] plan::plan_status read_status(const std::string& text);

} // namespace apricotstile::command

#endif

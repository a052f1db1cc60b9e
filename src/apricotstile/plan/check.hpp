// Offline check of the JSON texts of both lists; reports all errors at once.

#ifndef APRICOTSTILE_PLAN_CHECK_HPP
#define APRICOTSTILE_PLAN_CHECK_HPP

#include <apricotstile/plan/finding.hpp>
#include <apricotstile/plan/plan_lists.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace apricotstile::plan {

/// The text of one list and the file name that findings give for it.
struct list_text {
    std::string file;
    std::string text;
};

struct list_texts {
    list_text customers;
    list_text plans;
};

struct check_result {
    /// Complete only when `accepted`.
    plan_lists lists;
    /// By file, then by line.
    std::vector<finding> findings;
    /// True when no finding is an error; warnings are allowed.
    bool accepted{false};
};

/// Parses and checks both texts. Doesn't throw, whatever the texts contain. A
/// file with a syntax error isn't checked any further.
[[nodiscard]] check_result check(const list_texts& texts);

/// Warnings for services for which the plans of all customers together allow
/// more than the stated capacity.
[[nodiscard]] std::vector<finding>
check_capacity(const plan_lists& lists, std::string_view plans_file);

} // namespace apricotstile::plan

#endif

// Offline check of the two lists' texts: every error at once.

#ifndef APRICOTSTILE_PLAN_CHECK_HPP
#define APRICOTSTILE_PLAN_CHECK_HPP

#include <apricotstile/plan/finding.hpp>
#include <apricotstile/plan/plan_lists.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace apricotstile::plan {

/// One list's text and the name to report it by.
struct list_text {
    std::string file;
    std::string text;
};

struct list_texts {
    list_text customers;
    list_text plans;
};

struct check_result {
    /// Whole only when `accepted`.
    plan_lists lists;
    /// By file, then by line.
    std::vector<finding> findings;
    /// True when no finding is an error; warnings don't stand in the way.
    bool accepted{false};
};

/// Reads and checks both texts. Never throws for what the texts hold. After a
/// malformed token the rest of that file can't be checked.
[[nodiscard]] check_result check(const list_texts& texts);

/// Warnings for services whose customers' plans together promise more than
/// the stated capacity.
[[nodiscard]] std::vector<finding>
check_capacity(const plan_lists& lists, std::string_view plans_file);

} // namespace apricotstile::plan

#endif

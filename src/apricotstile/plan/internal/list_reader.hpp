// Reads one list from its JSON tree and collects findings.

#ifndef APRICOTSTILE_PLAN_INTERNAL_LIST_READER_HPP
#define APRICOTSTILE_PLAN_INTERNAL_LIST_READER_HPP

#include <apricotstile/plan/finding.hpp>
#include <apricotstile/plan/internal/positioned_json.hpp>
#include <apricotstile/plan/plan_lists.hpp>

#include <string>
#include <vector>

namespace apricotstile::plan::internal {

/// Collects the findings of one file.
struct finding_sink {
    std::string file;
    std::vector<finding> findings;
};

/// A customer as read from the file, for the check against the plans.
struct customer_entry {
    customer_id customer;
    plan_id plan;
    std::uint64_t line{0};
};

[[nodiscard]] std::vector<customer_entry>
read_customers(const json_value& root, finding_sink& sink);

[[nodiscard]] plan_list read_plans(const json_value& root, finding_sink& sink);

/// JSON pointer (RFC 6901) to the member `key` of the object at `parent`.
[[nodiscard]] std::string
child_path(const std::string& parent, const std::string& key);

void report(
    finding_sink& sink,
    std::uint64_t line,
    std::string path,
    std::string expected,
    std::string found
);

} // namespace apricotstile::plan::internal

#endif

// Parses both lists, reads their fields, then checks them against each other.

#include <apricotstile/plan/check.hpp>
#include <apricotstile/plan/internal/list_reader.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace apricotstile::plan {

namespace {

using internal::finding_sink;

std::optional<internal::json_value>
parse(const list_text& input, finding_sink& sink) {
    try {
        return internal::parse_positioned(input.text);
    } catch (const internal::json_syntax_error& error) {
        internal::report(
            sink, error.line, "", "JSON with comments", error.what()
        );
        return std::nullopt;
    }
}

/// Fills the customer list. Unknown plans are reported unless the plans file
/// couldn't be parsed.
void merge_customers(
    const std::vector<internal::customer_entry>& customers,
    bool plans_parsed,
    plan_lists& lists,
    finding_sink& sink
) {
    for (const internal::customer_entry& one : customers) {
        if (plans_parsed && !lists.plans.plans.contains(one.plan)) {
            internal::report(
                sink,
                one.line,
                internal::child_path("/customers", one.customer.value),
                "a plan of the plans file",
                "\"" + one.plan.value + "\""
            );
        }
        lists.customers.emplace(one.customer, one.plan);
    }
}

void check_service_names(const plan_list& list, finding_sink& sink) {
    // If any capacity is stated, each service needs one.
    if (list.capacities.empty()) {
        return;
    }
    for (const auto& [plan, limits] : list.plans) {
        for (const service_id& service : limits.services) {
            if (list.capacities.contains(service)) {
                continue;
            }
            internal::report(
                sink,
                1,
                internal::child_path("/plans", plan.value) + "/services",
                "a service listed in /upstream_capacity",
                "\"" + service.value + "\""
            );
        }
    }
}

void append_findings(check_result& result, finding_sink& sink) {
    std::stable_sort(
        sink.findings.begin(),
        sink.findings.end(),
        [](const finding& a, const finding& b) {
            return a.line < b.line;
        }
    );
    std::move(
        sink.findings.begin(),
        sink.findings.end(),
        std::back_inserter(result.findings)
    );
}

finding over_capacity(
    std::string_view file,
    const service_id& service,
    std::string_view field,
    std::uint64_t capacity,
    std::uint64_t allowed
) {
    return {
        severity::warning,
        std::string{file},
        1,
        fmt::format("/upstream_capacity/{}/{}", service.value, field),
        fmt::format("plans that allow at most {} in total", capacity),
        fmt::format("{}", allowed)};
}

} // namespace

std::vector<finding>
check_capacity(const plan_lists& lists, std::string_view plans_file) {
    std::map<service_id, upstream_capacity> allowed;
    for (const auto& [customer, plan] : lists.customers) {
        const auto found = lists.plans.plans.find(plan);
        if (found == lists.plans.plans.end()) {
            continue;
        }
        for (const service_id& service : found->second.services) {
            upstream_capacity& total = allowed[service];
            total.requests_per_second += found->second.requests_per_second;
            total.requests_at_once += found->second.requests_at_once;
        }
    }
    std::vector<finding> findings;
    for (const auto& [service, capacity] : lists.plans.capacities) {
        const upstream_capacity& total = allowed[service];
        if (total.requests_per_second > capacity.requests_per_second) {
            findings.push_back(over_capacity(
                plans_file,
                service,
                "requests_per_second",
                capacity.requests_per_second,
                total.requests_per_second
            ));
        }
        if (total.requests_at_once > capacity.requests_at_once) {
            findings.push_back(over_capacity(
                plans_file,
                service,
                "requests_at_once",
                capacity.requests_at_once,
                total.requests_at_once
            ));
        }
    }
    return findings;
}

check_result check(const list_texts& texts) {
    check_result result;
    finding_sink customers_sink{texts.customers.file, {}};
    finding_sink plans_sink{texts.plans.file, {}};
    const auto plans = parse(texts.plans, plans_sink);
    if (plans) {
        result.lists.plans = internal::read_plans(*plans, plans_sink);
        check_service_names(result.lists.plans, plans_sink);
    }
    const auto customers = parse(texts.customers, customers_sink);
    if (customers) {
        merge_customers(
            internal::read_customers(*customers, customers_sink),
            plans.has_value(),
            result.lists,
            customers_sink
        );
    }
    append_findings(result, customers_sink);
    append_findings(result, plans_sink);
    result.accepted = result.findings.empty();
    if (result.accepted) {
        result.findings = check_capacity(result.lists, texts.plans.file);
    }
    return result;
}

} // namespace apricotstile::plan

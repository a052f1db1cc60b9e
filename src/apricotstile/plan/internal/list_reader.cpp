// Reads both lists field by field.

#include <apricotstile/plan/internal/field_reader.hpp>
#include <apricotstile/plan/internal/list_reader.hpp>

#include <algorithm>
#include <initializer_list>
#include <string_view>

namespace apricotstile::plan::internal {

namespace {

std::vector<service_id> read_services(
    const json_value& plan, const std::string& path, finding_sink& sink
) {
    std::vector<service_id> services;
    const json_value* list = find_required(plan, "services", path, sink);
    const std::string list_path = child_path(path, "services");
    if (list == nullptr ||
        !expect_kind(*list, json_kind::array, "an array", list_path, sink)) {
        return services;
    }
    if (list->elements.empty()) {
        report(sink, list->line, list_path, "at least one service", "none");
    }
    for (std::size_t at = 0; at < list->elements.size(); ++at) {
        const json_value& element = list->elements[at];
        const std::string at_path = child_path(list_path, std::to_string(at));
        if (element.kind != json_kind::string || !is_name(element.text)) {
            report(
                sink,
                element.line,
                at_path,
                std::string{expected_name},
                describe(element)
            );
            continue;
        }
        const service_id service{element.text};
        if (std::find(services.begin(), services.end(), service) !=
            services.end()) {
            report(
                sink,
                element.line,
                at_path,
                "each service once",
                describe(element)
            );
            continue;
        }
        services.push_back(service);
    }
    std::sort(services.begin(), services.end());
    return services;
}

request::work_class read_work_class(
    const json_value& plan, const std::string& path, finding_sink& sink
) {
    const json_value* value = find_member(plan, "work_class");
    if (value == nullptr || value->text == "normal") {
        return request::work_class::normal;
    }
    if (value->kind == json_kind::string && value->text == "critical") {
        return request::work_class::critical;
    }
    if (value->kind == json_kind::string && value->text == "background") {
        return request::work_class::background;
    }
    report(
        sink,
        value->line,
        child_path(path, "work_class"),
        "\"critical\", \"normal\" or \"background\"",
        describe(*value)
    );
    return request::work_class::normal;
}

plan_limits
read_plan(const json_value& plan, const std::string& path, finding_sink& sink) {
    plan_limits limits;
    if (!expect_kind(plan, json_kind::object, "an object", path, sink)) {
        return limits;
    }
    check_duplicates(plan, path, sink);
    check_known_keys(
        plan,
        {"services",
         "requests_per_second",
         "burst",
         "requests_at_once",
         "work_class",
         "cross_region_bytes_per_second"},
        path,
        sink
    );
    limits.services = read_services(plan, path, sink);
    limits
        .requests_per_second = static_cast<std::uint32_t>(read_required_number(
        plan, "requests_per_second", {1, max_requests_per_second}, path, sink
    ));
    limits.burst = static_cast<std::uint32_t>(read_optional_number(
        plan, "burst", {1, max_burst}, limits.requests_per_second, path, sink
    ));
    limits.requests_at_once = static_cast<std::uint32_t>(read_required_number(
        plan, "requests_at_once", {1, max_requests_at_once}, path, sink
    ));
    limits.priority = read_work_class(plan, path, sink);
    limits.cross_region_bytes_per_second = read_optional_number(
        plan,
        "cross_region_bytes_per_second",
        {0, max_cross_region_bytes_per_second},
        default_cross_region_bytes_per_second,
        path,
        sink
    );
    return limits;
}

upstream_capacity read_capacity(
    const json_value& value, const std::string& path, finding_sink& sink
) {
    upstream_capacity capacity;
    if (!expect_kind(value, json_kind::object, "an object", path, sink)) {
        return capacity;
    }
    check_duplicates(value, path, sink);
    check_known_keys(
        value, {"requests_per_second", "requests_at_once"}, path, sink
    );
    const number_range range{1, max_capacity};
    capacity.requests_per_second =
        read_required_number(value, "requests_per_second", range, path, sink);
    capacity.requests_at_once =
        read_required_number(value, "requests_at_once", range, path, sink);
    return capacity;
}

/// The object under `key` of the root object. Reports a missing or invalid one
/// and returns null for it.
const json_value* read_section(
    const json_value& root, const std::string& key, finding_sink& sink
) {
    const json_value* section = find_required(root, key, "", sink);
    const std::string path = child_path("", key);
    if (section == nullptr ||
        !expect_kind(*section, json_kind::object, "an object", path, sink)) {
        return nullptr;
    }
    check_duplicates(*section, path, sink);
    return section;
}

bool check_root(
    const json_value& root,
    std::initializer_list<std::string_view> known,
    finding_sink& sink
) {
    if (!expect_kind(root, json_kind::object, "an object", "", sink)) {
        return false;
    }
    check_duplicates(root, "", sink);
    check_known_keys(root, known, "", sink);
    return true;
}

} // namespace

std::vector<customer_entry>
read_customers(const json_value& root, finding_sink& sink) {
    std::vector<customer_entry> customers;
    if (!check_root(root, {"customers"}, sink)) {
        return customers;
    }
    const json_value* section = read_section(root, "customers", sink);
    if (section == nullptr) {
        return customers;
    }
    customers.reserve(section->members.size());
    for (const json_member& member : section->members) {
        const json_value& value = member.value;
        const bool valid =
            is_name(member.key) && value.kind == json_kind::string;
        if (!valid) {
            const std::string path = child_path("/customers", member.key);
            check_name(member, path, sink);
            expect_kind(
                value, json_kind::string, "the name of a plan", path, sink
            );
            continue;
        }
        customers.push_back(
            {customer_id{member.key}, plan_id{value.text}, value.line}
        );
    }
    return customers;
}

plan_list read_plans(const json_value& root, finding_sink& sink) {
    plan_list list;
    if (!check_root(root, {"plans", "upstream_capacity"}, sink)) {
        return list;
    }
    if (const json_value* plans = read_section(root, "plans", sink)) {
        for (const json_member& member : plans->members) {
            const std::string path = child_path("/plans", member.key);
            check_name(member, path, sink);
            list.plans.emplace(
                plan_id{member.key}, read_plan(member.value, path, sink)
            );
        }
    }
    if (find_member(root, "upstream_capacity") == nullptr) {
        return list;
    }
    const json_value* capacities =
        read_section(root, "upstream_capacity", sink);
    if (capacities == nullptr) {
        return list;
    }
    for (const json_member& member : capacities->members) {
        const std::string path = child_path("/upstream_capacity", member.key);
        check_name(member, path, sink);
        list.capacities.emplace(
            service_id{member.key}, read_capacity(member.value, path, sink)
        );
    }
    return list;
}

} // namespace apricotstile::plan::internal

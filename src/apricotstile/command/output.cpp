// Writing and reading of the JSON forms.

#include <apricotstile/command/internal/output.hpp>
#include <apricotstile/host/address.hpp>

#include <array>
#include <stdexcept>
#include <string_view>

namespace apricotstile::command::internal {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, request::work_class_count> class_names{
    "critical", "normal", "background"};

request::work_class class_from(const std::string& name) {
    for (std::size_t at = 0; at < class_names.size(); ++at) {
        if (class_names[at] == name) {
            return static_cast<request::work_class>(at);
        }
    }
    throw std::invalid_argument{"unknown work class " + name};
}

plan::plan_limits limits_from_json(const json& value) {
    plan::plan_limits limits;
    for (const json& service : value.at("services")) {
        limits.services.push_back({service.get<std::string>()});
    }
    limits.requests_per_second = value.at("requests_per_second");
    limits.burst = value.at("burst");
    limits.requests_at_once = value.at("requests_at_once");
    limits.priority = class_from(value.at("work_class"));
    limits.cross_region_bytes_per_second =
        value.at("cross_region_bytes_per_second");
    return limits;
}

json to_json(const plan::upstream_capacity& value) {
    return {
        {"requests_per_second", value.requests_per_second},
        {"requests_at_once", value.requests_at_once}};
}

plan::upstream_capacity capacity_from_json(const json& value) {
    return {value.at("requests_per_second"), value.at("requests_at_once")};
}

host_id host_from(const std::string& text) {
    const auto where = parse_address(text);
    if (!where) {
        throw std::invalid_argument{"not an address: " + text};
    }
    return host_at(*where);
}

plan::apply_status apply_status_from(const std::string& name) {
    for (const auto status :
         {plan::apply_status::applied,
          plan::apply_status::lost_race,
          plan::apply_status::not_applied,
          plan::apply_status::unsettled}) {
        if (plan::to_string(status) == name) {
            return status;
        }
    }
    throw std::invalid_argument{"unknown apply status " + name};
}

} // namespace

json to_json(const plan::finding& value) {
    return {
        {"severity", plan::to_string(value.severity)},
        {"file", value.file},
        {"line", value.line},
        {"path", value.path},
        {"expected", value.expected},
        {"found", value.found}};
}

json to_json(const plan::plan_limits& value) {
    json services = json::array();
    for (const service_id& service : value.services) {
        services.push_back(service.value);
    }
    return {
        {"services", services},
        {"requests_per_second", value.requests_per_second},
        {"burst", value.burst},
        {"requests_at_once", value.requests_at_once},
        {"work_class", class_names[static_cast<std::size_t>(value.priority)]},
        {"cross_region_bytes_per_second", value.cross_region_bytes_per_second}};
}

json to_json(const plan::plan_difference& value) {
    json customers = json::object();
    for (const auto& [customer, plan] : value.customers) {
        customers[customer.value] = plan ? json(plan->value) : json();
    }
    json plans = json::object();
    for (const auto& [plan, limits] : value.plans) {
        plans[plan.value] = limits ? to_json(*limits) : json();
    }
    json capacities = json::object();
    for (const auto& [service, capacity] : value.capacities) {
        capacities[service.value] = capacity ? to_json(*capacity) : json();
    }
    return {
        {"customers", customers},
        {"plans", plans},
        {"upstream_capacity", capacities}};
}

json to_json(const plan::apply_report& value) {
    json result{
        {"id", value.id.value},
        {"status", plan::to_string(value.status)},
        {"version", value.version.value}};
    if (value.changed_since_base) {
        result["changed_since_base"] = to_json(*value.changed_since_base);
    }
    return result;
}

json to_json(const plan::plan_status& value) {
    json lagging = json::array();
    for (const plan::member_version& one : value.lagging) {
        lagging.push_back(
            {{"member", to_string(peer_address(one.member))},
             {"version", one.version.value}}
        );
    }
    return {
        {"version", value.version.value},
        {"members", value.members},
        {"in_force", value.in_force},
        {"lagging", lagging}};
}

plan::plan_difference difference_from_json(const json& value) {
    plan::plan_difference result;
    for (const auto& [name, plan] : value.at("customers").items()) {
        auto& entry = result.customers[{name}];
        if (!plan.is_null()) {
            entry = plan_id{plan.get<std::string>()};
        }
    }
    for (const auto& [name, limits] : value.at("plans").items()) {
        auto& entry = result.plans[{name}];
        if (!limits.is_null()) {
            entry = limits_from_json(limits);
        }
    }
    for (const auto& [name, one] : value.at("upstream_capacity").items()) {
        auto& entry = result.capacities[{name}];
        if (!one.is_null()) {
            entry = capacity_from_json(one);
        }
    }
    return result;
}

plan::apply_report report_from_json(const json& value) {
    plan::apply_report report;
    report.id = {value.at("id").get<std::uint64_t>()};
    report.status = apply_status_from(value.at("status"));
    report.version = {value.at("version").get<std::uint64_t>()};
    if (value.contains("changed_since_base")) {
        report.changed_since_base =
            difference_from_json(value.at("changed_since_base"));
    }
    return report;
}

plan::plan_status status_from_json(const json& value) {
    plan::plan_status status;
    status.version = {value.at("version").get<std::uint64_t>()};
    status.members = value.at("members");
    status.in_force = value.at("in_force");
    for (const json& one : value.at("lagging")) {
        status.lagging.push_back(
            {host_from(one.at("member")),
             {one.at("version").get<std::uint64_t>()}}
        );
    }
    return status;
}

} // namespace apricotstile::command::internal

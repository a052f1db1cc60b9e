// Reading and checking of a daemon's settings.

#include <apricotstile/settings/daemon_settings.hpp>

#include <apricotstile/settings/json_fields.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace apricotstile::settings {

namespace {

constexpr std::size_t least_secret_length = 16;
constexpr double largest_weight = 1000.0;

std::string joined(const std::vector<problem>& problems) {
    std::string text;
    for (const problem& one : problems) {
        text += text.empty() ? "" : "\n";
        text += to_string(one);
    }
    return text;
}

location read_host(json_fields fields) {
    location result;
    result.region.value = fields.text("region", 1);
    result.failure_domain.value = fields.text("failure_domain", 1);
    fields.refuse_unknown_keys();
    return result;
}

listen_addresses read_listen(json_fields fields) {
    listen_addresses result;
    result.callers = fields.address("callers");
    result.peers = fields.address("peers");
    result.operators = fields.address("operators");
    result.upstreams = fields.address("upstreams");
    std::array<address, 4> all{
        result.callers, result.peers, result.operators, result.upstreams};
    std::sort(all.begin(), all.end());
    const bool twice = std::adjacent_find(all.begin(), all.end()) != all.end();
    if (twice && all.front() != address{}) {
        fields.add_problem("", "four different addresses");
    }
    fields.refuse_unknown_keys();
    return result;
}

platform_addresses read_platform(json_fields fields) {
    platform_addresses result;
    result.table = fields.address("table");
    result.objects = fields.address("objects");
    fields.refuse_unknown_keys();
    return result;
}

planner_weights read_weights(json_fields fields) {
    planner_weights result;
    result.imbalance =
        fields.number("imbalance", result.imbalance, largest_weight);
    result.churn = fields.number("churn", result.churn, largest_weight);
    result.unavailable_time = fields.number(
        "unavailable_time", result.unavailable_time, largest_weight
    );
    fields.refuse_unknown_keys();
    return result;
}

std::map<service_id, fencing> read_fencing(json_fields fields) {
    std::map<service_id, fencing> result;
    for (const std::string& service : fields.keys()) {
        const bool checked =
            fields.word(service, {"unchecked", "checked"}) == "checked";
        result[service_id{service}] =
            checked ? fencing::checked : fencing::unchecked;
    }
    return result;
}

log::level read_log_level(json_fields fields) {
    const std::string word =
        fields.word("level", {"info", "debug", "warning", "error"});
    fields.refuse_unknown_keys();
    if (word == "debug") {
        return log::level::debug;
    }
    if (word == "warning") {
        return log::level::warning;
    }
    return word == "error" ? log::level::error : log::level::info;
}

} // namespace

std::string to_string(const problem& value) {
    return fmt::format(
        "{}: {}: expected {}", value.file, value.where, value.expected
    );
}

settings_error::settings_error(std::vector<problem> found)
    : std::runtime_error(joined(found)), problems(std::move(found)) {}

daemon_settings parse_settings(std::string_view text, const std::string& file) {
    std::vector<problem> problems;
    const nlohmann::json document = parse_json(text, file);
    json_fields fields{document, file, "", problems};
    daemon_settings result;
    result.host = read_host(fields.object("host"));
    result.listen = read_listen(fields.object("listen"));
    result.seed_peers = fields.addresses("seed_peers");
    result.platform = read_platform(fields.object("platform"));
    json_fields secrets = fields.object("secrets");
    result.peers_key = secrets.text("peers_key", least_secret_length);
    result.operators_token =
        secrets.text("operators_token", least_secret_length);
    secrets.refuse_unknown_keys();
    if (fields.has("weights")) {
        result.weights = read_weights(fields.object("weights"));
    }
    if (fields.has("fencing")) {
        result.fencing_of = read_fencing(fields.object("fencing"));
    }
    if (fields.has("log")) {
        result.log_level = read_log_level(fields.object("log"));
    }
    fields.refuse_unknown_keys();
    if (!problems.empty()) {
        throw settings_error{std::move(problems)};
    }
    return result;
}

daemon_settings read_settings(const std::string& file) {
    return parse_settings(read_text(file), file);
}

} // namespace apricotstile::settings

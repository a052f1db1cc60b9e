// Executions as JSON lines; times are microseconds of the boot-time clock,
// which all processes of one machine share.

#include <standins/upstream/execution.hpp>

#include <standins/upstream/work_item.hpp>

#include <standins/support/json_time.hpp>

#include <nlohmann/json.hpp>

namespace apricotstile::standins {

NLOHMANN_JSON_SERIALIZE_ENUM(
    execution_end,
    {{execution_end::answered, "answered"},
     {execution_end::answer_lost, "answer_lost"},
     {execution_end::cancelled, "cancelled"},
     {execution_end::deadline_passed, "deadline_passed"}}
)

execution begin_execution(
    const work_item& item, const std::string& upstream, instant now
) {
    execution one;
    one.id = item.id.value;
    one.upstream = upstream;
    one.request_name = item.request_name;
    one.call = item.call;
    one.caller_key = item.caller_key.value;
    one.customer = item.customer.value;
    one.service = item.service.value;
    one.key = item.key;
    one.slice = item.slice.value;
    one.token = item.token.value;
    one.started = now;
    return one;
}

nlohmann::json start_line(const execution& one) {
    return {
        {"execution", one.id},
        {"upstream", one.upstream},
        {"request", one.request_name},
        {"call", one.call},
        {"idempotency_key", one.caller_key},
        {"customer", one.customer},
        {"service", one.service},
        {"key", one.key},
        {"slice", one.slice},
        {"token", one.token},
        {"started_us", to_microseconds(one.started)}};
}

nlohmann::json end_line(const execution& one) {
    return {
        {"execution", one.id},
        {"ended_us", to_microseconds(one.ended.value_or(instant{}))},
        {"end", one.end.value_or(execution_end::answer_lost)}};
}

bool is_start_line(const nlohmann::json& line) {
    return line.contains("started_us");
}

execution parse_start_line(const nlohmann::json& line) {
    execution one;
    line.at("execution").get_to(one.id);
    line.at("upstream").get_to(one.upstream);
    line.at("request").get_to(one.request_name);
    line.at("call").get_to(one.call);
    line.at("idempotency_key").get_to(one.caller_key);
    line.at("customer").get_to(one.customer);
    line.at("service").get_to(one.service);
    line.at("key").get_to(one.key);
    line.at("slice").get_to(one.slice);
    line.at("token").get_to(one.token);
    one.started = from_microseconds(line.at("started_us").get<std::int64_t>());
    return one;
}

void apply_end_line(execution& one, const nlohmann::json& line) {
    one.ended = from_microseconds(line.at("ended_us").get<std::int64_t>());
    one.end = line.at("end").get<execution_end>();
}

} // namespace apricotstile::standins

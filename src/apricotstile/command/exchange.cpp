// Bodies of /plans/ requests and answers.

#include <apricotstile/command/exchange.hpp>
#include <apricotstile/command/internal/output.hpp>

namespace apricotstile::command {

namespace {

using nlohmann::json;

/// Runs `read` on the parsed text; any failure becomes an `exchange_error`.
template <class Reader>
auto read_json(const std::string& text, Reader read) {
    try {
        return read(json::parse(text));
    } catch (const std::exception& error) {
        throw exchange_error{error.what()};
    }
}

json text_to_json(const plan::list_text& value) {
    return {{"file", value.file}, {"text", value.text}};
}

plan::list_text text_from_json(const json& value) {
    return {value.at("file"), value.at("text")};
}

} // namespace

std::string write_order(const apply_order& order) {
    const json value{
        {"id", order.id.value},
        {"based_on", order.based_on.value},
        {"customers", text_to_json(order.texts.customers)},
        {"plans", text_to_json(order.texts.plans)}};
    return value.dump();
}

apply_order read_order(const std::string& text) {
    return read_json(text, [](const json& value) {
        return apply_order{
            {value.at("id").get<std::uint64_t>()},
            {value.at("based_on").get<std::uint64_t>()},
            {text_from_json(value.at("customers")),
             text_from_json(value.at("plans"))}};
    });
}

std::string write_report(const plan::apply_report& report) {
    return internal::to_json(report).dump();
}

plan::apply_report read_report(const std::string& text) {
    return read_json(text, internal::report_from_json);
}

std::string write_status(const plan::plan_status& status) {
    return internal::to_json(status).dump();
}

plan::plan_status read_status(const std::string& text) {
    return read_json(text, internal::status_from_json);
}

} // namespace apricotstile::command

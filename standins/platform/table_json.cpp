// Conversion between table types and JSON.

#include <standins/platform/table_json.hpp>

#include <QByteArray>

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace apricotstile::standins {

namespace {

using nlohmann::json;

std::string to_base64(const std::string& bytes) {
    return QByteArray::fromStdString(bytes).toBase64().toStdString();
}

std::string from_base64(const std::string& text) {
    const auto decoded = QByteArray::fromBase64Encoding(
        QByteArray::fromStdString(text), QByteArray::AbortOnBase64DecodingErrors
    );
    if (!decoded) {
        throw std::invalid_argument("value is not base64");
    }
    return decoded.decoded.toStdString();
}

platform::mutation parse_mutation(const json& from) {
    platform::mutation change;
    change.key.value = from.at("key").get<std::string>();
    const json& value = from.at("value");
    if (!value.is_null()) {
        change.value = from_base64(value.get<std::string>());
    }
    return change;
}

platform::condition parse_condition(const json& from) {
    return {
        platform::row_key{from.at("key").get<std::string>()},
        platform::row_version{from.at("version").get<std::uint64_t>()}};
}

} // namespace

platform::transaction parse_transaction(const std::string& text) {
    const json from = json::parse(text);
    platform::transaction work;
    for (const json& one : from.at("conditions")) {
        work.conditions.push_back(parse_condition(one));
    }
    for (const json& one : from.at("mutations")) {
        work.mutations.push_back(parse_mutation(one));
    }
    return work;
}

std::string to_json(const platform::commit_result& result) {
    if (result.status != platform::commit_status::committed) {
        return json{{"status", "conflict"}}.dump();
    }
    json versions = json::array();
    for (const platform::row_version version : result.versions) {
        versions.push_back(version.value);
    }
    return json{{"status", "committed"}, {"versions", versions}}.dump();
}

std::string to_json(const std::vector<platform::row>& rows) {
    json listed = json::array();
    for (const platform::row& row : rows) {
        listed.push_back(
            {{"key", row.key.value},
             {"version", row.version.value},
             {"value", to_base64(row.value)}}
        );
    }
    return json{{"rows", listed}}.dump();
}

} // namespace apricotstile::standins

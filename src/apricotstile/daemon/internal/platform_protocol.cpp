// Translation between transactions and JSON.

#include <apricotstile/daemon/internal/platform_protocol.hpp>

#include <nlohmann/json.hpp>

#include <QByteArray>

namespace apricotstile::daemon::internal {

namespace {

std::string to_base64(const std::string& bytes) {
    return QByteArray::fromStdString(bytes).toBase64().toStdString();
}

std::string from_base64(const std::string& text) {
    return QByteArray::fromBase64(QByteArray::fromStdString(text))
        .toStdString();
}

} // namespace

std::string commit_body(const platform::transaction& work) {
    nlohmann::json body;
    body["conditions"] = nlohmann::json::array();
    for (const platform::condition& one : work.conditions) {
        body["conditions"].push_back(
            {{"key", one.key.value}, {"version", one.version.value}}
        );
    }
    body["mutations"] = nlohmann::json::array();
    for (const platform::mutation& one : work.mutations) {
        nlohmann::json change{{"key", one.key.value}, {"value", nullptr}};
        if (one.value) {
            change["value"] = to_base64(*one.value);
        }
        body["mutations"].push_back(std::move(change));
    }
    return body.dump();
}

platform::commit_result read_commit_answer(const std::string& body) {
    platform::commit_result result{platform::commit_status::unknown, {}};
    try {
        const auto answer = nlohmann::json::parse(body);
        const std::string status = answer.at("status").get<std::string>();
        if (status == "conflict") {
            result.status = platform::commit_status::conflict;
        } else if (status == "committed") {
            for (const auto& version : answer.at("versions")) {
                result.versions.push_back(platform::row_version{
                    version.get<std::uint64_t>()});
            }
            result.status = platform::commit_status::committed;
        }
    } catch (const nlohmann::json::exception&) {
        return {platform::commit_status::unknown, {}};
    }
    return result;
}

platform::read_result read_rows_answer(const std::string& body) {
    platform::read_result result;
    try {
        const auto answer = nlohmann::json::parse(body);
        for (const auto& one : answer.at("rows")) {
            result.rows.push_back(
                {platform::row_key{one.at("key").get<std::string>()},
                 platform::row_version{one.at("version").get<std::uint64_t>()},
                 from_base64(one.at("value").get<std::string>())}
            );
        }
        result.answered = true;
    } catch (const nlohmann::json::exception&) {
        return {};
    }
    return result;
}

} // namespace apricotstile::daemon::internal

// Keeps and checks granted tokens.

#include <standins/upstream/granted_tokens.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace apricotstile::standins {

grant_message parse_grants(const std::string& text) {
    const nlohmann::json from = nlohmann::json::parse(text);
    grant_message message;
    message.valid_for =
        std::chrono::milliseconds{from.at("valid_ms").get<std::uint32_t>()};
    for (const nlohmann::json& one : from.at("slices")) {
        message.slices.push_back(
            {service_id{one.at("service").get<std::string>()},
             slice_id{one.at("slice").get<std::uint32_t>()},
             fencing_token{one.at("token").get<std::uint64_t>()}}
        );
    }
    return message;
}

void add_grants(
    granted_tokens& granted, const grant_message& message, instant now
) {
    for (const token_grant& one : message.slices) {
        fencing_token& held = granted.tokens[{one.service, one.slice}];
        held = std::max(held, one.token);
    }
    granted.valid_until =
        std::max(granted.valid_until, now + message.valid_for);
}

bool permits(
    const granted_tokens& granted, const token_grant& wanted, instant now
) {
    if (now >= granted.valid_until) {
        return false;
    }
    const auto found = granted.tokens.find({wanted.service, wanted.slice});
    return found != granted.tokens.end() && found->second == wanted.token;
}

} // namespace apricotstile::standins

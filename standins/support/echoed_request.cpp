// Writes and checks echoes.

#include <standins/support/echoed_request.hpp>

#include <apricotstile/core/hashing.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace apricotstile::standins {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    echoed_request, service, key, customer, call, digest
)

std::string digest_of(std::string_view body) {
    return fmt::format("{:016x}", stable_hash(body));
}

std::string
answer_body(const echoed_request& echo, const std::string& upstream) {
    nlohmann::json answer = echo;
    answer["upstream"] = upstream;
    return answer.dump();
}

bool is_answer_to(const echoed_request& sent, const std::string& body) {
    try {
        const auto answer = nlohmann::json::parse(body);
        return answer.get<echoed_request>() == sent;
    } catch (const nlohmann::json::exception&) {
        return false;
    }
}

} // namespace apricotstile::standins

// Formats keys, hosts and guardians for log fields.

#ifndef APRICOTSTILE_ROUTER_INTERNAL_LOG_TEXTS_HPP
#define APRICOTSTILE_ROUTER_INTERNAL_LOG_TEXTS_HPP

#include <apricotstile/host/address.hpp>
#include <apricotstile/keys/guardian_id.hpp>
#include <apricotstile/keys/key_map.hpp>

#include <string>

namespace apricotstile::router::internal {

inline std::string text_of(const keys::key_range& range) {
    return std::to_string(range.first) + "-" + std::to_string(range.last);
}

inline std::string text_of(host_id host) {
    return to_string(peer_address(host));
}

inline std::string text_of(const keys::guardian_list& guardians) {
    std::string result;
    for (const keys::guardian_id& one : guardians) {
        result += (result.empty() ? "" : ",") + text_of(one.host);
    }
    return result;
}

} // namespace apricotstile::router::internal

#endif

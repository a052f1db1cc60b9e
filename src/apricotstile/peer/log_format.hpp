// Formats keys, hosts, guardians and durations for log fields.

#ifndef APRICOTSTILE_PEER_LOG_FORMAT_HPP
#define APRICOTSTILE_PEER_LOG_FORMAT_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/keys/guardian_id.hpp>
#include <apricotstile/keys/key_map.hpp>

#include <string>

namespace apricotstile::peer {

inline std::string format_for_log(const keys::key_range& range) {
    return std::to_string(range.first) + "-" + std::to_string(range.last);
}

inline std::string format_for_log(host_id host) {
    return to_string(peer_address(host));
}

inline std::string format_for_log(const keys::guardian_list& guardians) {
    std::string result;
    for (const keys::guardian_id& one : guardians) {
        result += (result.empty() ? "" : ",") + format_for_log(one.host);
    }
    return result;
}

/// Whole milliseconds.
inline std::string millis_text(duration value) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count()
    );
}

} // namespace apricotstile::peer

#endif

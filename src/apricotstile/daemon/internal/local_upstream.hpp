// An upstream beside this daemon, as it last announced itself.

#ifndef APRICOTSTILE_DAEMON_INTERNAL_LOCAL_UPSTREAM_HPP
#define APRICOTSTILE_DAEMON_INTERNAL_LOCAL_UPSTREAM_HPP

#include <apricotstile/assignment/range_id.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/host/address.hpp>
#include <apricotstile/http/client_pool.hpp>
#include <apricotstile/member/member_record.hpp>
#include <apricotstile/upstream/dispatcher.hpp>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace apricotstile::daemon::internal {

/// The body of an announcement.
struct announcement {
    apricotstile::address address;
    bool leaving{false};
    std::vector<member::served_service> services;
    /// The least number of slots of its services.
    std::size_t max_at_once{0};
    std::size_t max_connections{0};
};

/// Reads an announcement's JSON; nothing when it is malformed.
[[nodiscard]] std::optional<announcement>
parse_announcement(const std::string& body);

struct local_upstream {
    announcement said;
    instant last_heard;
    std::unique_ptr<http::client_pool> pool;
    /// Grants, cancellations and health, apart from the slots for work.
    std::unique_ptr<http::client_pool> side_pool;
    /// The tokens that the upstream has accepted grants for.
    std::map<assignment::range_id, fencing_token> granted;
    bool grant_in_flight{false};
    instant granted_at;
    upstream::dispatcher dispatcher;
    /// Calls whose connection broke, until the probe tells why.
    std::vector<upstream::work_id> lost;
    bool probing{false};
    /// Set from a crash until the next announcement.
    bool died{false};

    [[nodiscard]] bool is_keyed(const service_id& service) const;
};

/// What a dump shows of an upstream.
[[nodiscard]] nlohmann::json
describe(const local_upstream& upstream, instant now);

} // namespace apricotstile::daemon::internal

#endif

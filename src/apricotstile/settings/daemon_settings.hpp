// The settings of one daemon, read from JSON with comments.

#ifndef APRICOTSTILE_SETTINGS_DAEMON_SETTINGS_HPP
#define APRICOTSTILE_SETTINGS_DAEMON_SETTINGS_HPP

#include <apricotstile/host/address.hpp>
#include <apricotstile/host/location.hpp>
#include <apricotstile/log/logger.hpp>
#include <apricotstile/settings/settings_error.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace apricotstile::settings {

/// Addresses the daemon listens on.
struct listen_addresses {
    address callers;
    /// TCP and UDP; also names the host.
    address peers;
    address operators;
    address upstreams;
};

struct platform_addresses {
    address table;
    address objects;
};

/// What the planner weighs against each other; each at least zero.
struct planner_weights {
    double imbalance{1.0};
    double churn{1.0};
    double unavailable_time{1.0};
};

/// Whether the servers of a service refuse work with an old fencing token.
enum class fencing : std::uint8_t { checked, unchecked };

struct daemon_settings {
    location host;
    listen_addresses listen;
    std::vector<address> seed_peers;
    platform_addresses platform;
    std::string peers_key;
    std::string operators_token;
    planner_weights weights;
    /// Services that aren't named are taken as `unchecked`.
    std::map<service_id, settings::fencing> fencing_of;
    log::level log_level{log::level::info};
};

/// Settings in `text`, which `file` names in errors.
/// Throws `settings_error` with every error found.
[[nodiscard]] daemon_settings
parse_settings(std::string_view text, const std::string& file);

/// Settings in the file. Throws `settings_error`.
[[nodiscard]] daemon_settings read_settings(const std::string& file);

} // namespace apricotstile::settings

#endif

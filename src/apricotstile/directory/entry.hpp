// Describes one daemon and its local upstream instance to the other daemons.

#ifndef APRICOTSTILE_DIRECTORY_ENTRY_HPP
#define APRICOTSTILE_DIRECTORY_ENTRY_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/directory/departures.hpp>
#include <apricotstile/directory/instance_run.hpp>
#include <apricotstile/host/location.hpp>

#include <cstdint>
#include <string_view>

namespace apricotstile::directory {

enum class instance_state : std::uint8_t { absent, ready, draining };

/// The state's name in logs.
[[nodiscard]] std::string_view name_of(instance_state state);

struct member_entry {
    host_id host;
    location where;
    /// Run of the daemon; increases with each restart.
    incarnation run;
    /// Increases with each change of the entry in this run of the daemon.
    std::uint64_t revision{0};
    service_id service;
    instance_run instance;
    instance_state state{instance_state::absent};
    /// Requests that the instance can execute concurrently.
    std::uint32_t slots{0};
    /// Whether the daemon is shutting down.
    bool stopping{false};
    /// Announced to this or an earlier run of the daemon.
    departures known_departures;
};

template <class Archive>
void serialize(Archive& archive, member_entry& value) {
    archive(
        value.host,
        value.where,
        value.run,
        value.revision,
        value.service,
        value.instance,
        value.state,
        value.slots,
        value.stopping,
        value.known_departures
    );
}

} // namespace apricotstile::directory

#endif

// Which daemons of a region read the configuration from the platform's store.
// They announce its version to the others, which get the configuration from
// one another. So a change costs a few calls to the store, however many daemons
// there are, and crosses regions only where the store's responses do.
//
// Nobody is set aside for it: the first daemons of a region read, in an order
// that all of them know. A daemon that is lost leaves the order. If the first
// ones can't read, or are silent, those after them read too, one after the
// other.

#ifndef APRICOTSTILE_ROUTING_CONFIG_READERS_HPP
#define APRICOTSTILE_ROUTING_CONFIG_READERS_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/routing/routing_config.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace apricotstile::routing {

struct config_reader_policy {
    /// The number of daemons of a region that read at the same time.
    std::size_t readers{2};
    /// While the store refuses the first daemons, at most this many try.
    std::size_t max_candidates{6};
    /// A reader's announcement counts for this time. Longer than the time
    /// between two announcements.
    duration notice_timeout{std::chrono::milliseconds{4500}};
    /// How long there are too few readers before another daemon reads.
    duration takeover_delay{std::chrono::milliseconds{800}};
    /// Added for each daemon that takes over before.
    duration delay_per_rank{std::chrono::milliseconds{200}};
    /// The number of daemons that get the configuration from the same one.
    std::size_t fan_out{4};
};

/// What a reader has announced last.
struct reader_notice {
    /// Whether it reads all changes.
    bool is_current{false};
    config_version version;
    instant received;
};

struct config_readers {
    config_reader_policy policy;
    std::map<host_id, reader_notice> notices;
    /// Since when too few daemons before this one have read.
    std::optional<instant> too_few_since;
};

/// Daemons of one region that can reach each other, in ascending order, and
/// this one among them.
struct region_order {
    std::vector<host_id> daemons;
    std::size_t own_rank{0};
};

[[nodiscard]] region_order
make_region_order(std::vector<host_id> daemons, host_id self);

void note_announcement(
    config_readers& state, host_id reader, const reader_notice& notice
);

/// Whether this daemon reads the configuration from the store.
[[nodiscard]] bool
reads_config(config_readers& state, const region_order& order, instant now);

/// Whether a reader has announced recently that it misses no change, and that
/// `own` is the newest version.
[[nodiscard]] bool
is_config_current(const config_readers& state, config_version own, instant now);

/// The daemon to get a newly announced configuration from; nothing for those
/// that read it from the store.
[[nodiscard]] std::optional<host_id>
config_source(const config_reader_policy& policy, const region_order& order);

} // namespace apricotstile::routing

#endif

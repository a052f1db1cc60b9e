// Which failure domains are evacuated. Operators evacuate one before work on
// its machines, or when part of it has failed: from a few seconds later on no
// instance there gets a request, until the operator takes that back.
//
// Every daemon holds the whole set, complete as of a version of the operators'
// table. It comes from the table or from peers, in any order and repeatedly;
// the newest version wins. A complete read of the table replaces the set, since
// it lacks the rows that were removed.
//
// The time that remains for moving keys counts from when any daemon first saw
// the evacuation. That age travels with the set, as a daemon may learn of the
// evacuation seconds after the others.

#ifndef APRICOTSTILE_ROUTING_EVACUATIONS_HPP
#define APRICOTSTILE_ROUTING_EVACUATIONS_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/platform/transaction.hpp>

#include <map>
#include <optional>
#include <vector>

namespace apricotstile::routing {

struct evacuation {
    /// Version of the row that evacuates the domain.
    platform::row_version version;
    /// When a daemon first saw it, as far as known here.
    instant seen;
};

struct evacuations {
    /// The set has all changes up to this version of the table; nothing while
    /// it isn't known.
    std::optional<platform::row_version> version;
    std::map<failure_domain_id, evacuation> domains;
};

/// A row that evacuates a domain was written, or was removed.
struct evacuation_change {
    failure_domain_id domain;
    platform::row_version version;
    bool withdrawn{false};
};

/// What the table delivers.
struct evacuation_changes {
    /// Whether `changes` are all rows there are, and not the changes since the
    /// last delivery.
    bool is_complete{false};
    /// They have everything up to this version of the table.
    platform::row_version version;
    /// In the order in which they were made.
    std::vector<evacuation_change> changes;
};

/// The set as one daemon tells it to another.
struct evacuation_report {
    struct evacuated_domain {
        failure_domain_id domain;
        platform::row_version version;
        /// How long ago a daemon first saw it.
        duration age{0};
    };

    platform::row_version version;
    std::vector<evacuated_domain> domains;
};

/// How an update has changed the set.
struct evacuation_difference {
    /// Not evacuated before.
    std::vector<failure_domain_id> evacuated;
    std::vector<failure_domain_id> withdrawn;
    /// Whether the set is now known as of a newer version.
    bool is_newer{false};
};

/// Limits on the time until an evacuated domain gets no more requests.
struct evacuation_policy {
    /// From the operator's write until the last request.
    duration timeout{std::chrono::seconds{5}};
    /// From the operator's write until a daemon sees it: the slowest of 5,000
    /// random schedules of store outages took 1.81 s.
    duration max_propagation{std::chrono::seconds{2}};
    /// How long an instance may serve its keys while they move.
    duration max_key_service{std::chrono::milliseconds{2600}};
    /// For requests that arrive later than they were sent.
    duration margin{std::chrono::milliseconds{400}};
};

/// Applies what the table delivers. Changes are ignored while no complete read
/// has been applied.
evacuation_difference apply_changes(
    evacuations& state, const evacuation_changes& update, instant now
);

/// Applies a peer's set if it is newer. Of an evacuation that is known, the
/// greater age is kept.
evacuation_difference apply_report(
    evacuations& state, const evacuation_report& received, instant now
);

/// The set for a peer; nothing while it isn't known.
[[nodiscard]] std::optional<evacuation_report>
make_report(const evacuations& state, instant now);

[[nodiscard]] bool
is_evacuated(const evacuations& state, const failure_domain_id& domain);

/// From then on no key of an evacuated domain may be served there. `began` is
/// when the daemon beside the instance began to move the keys, if known.
[[nodiscard]] instant key_service_end(
    const evacuation& known,
    const evacuation_policy& policy,
    std::optional<instant> began
);

} // namespace apricotstile::routing

#endif

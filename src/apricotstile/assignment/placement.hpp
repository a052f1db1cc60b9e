// How load spreads over members, and where ranges without an owner go.

#ifndef APRICOTSTILE_ASSIGNMENT_PLACEMENT_HPP
#define APRICOTSTILE_ASSIGNMENT_PLACEMENT_HPP

#include <apricotstile/assignment/assignment_map.hpp>
#include <apricotstile/assignment/range_id.hpp>
#include <apricotstile/core/time.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotstile::assignment {

/// What an idle slice counts for while no load is known.
constexpr double default_base_slice_load = 1.0;
/// The same as a share of the mean slice's load once it is known.
constexpr double base_slice_load_ratio = 0.05;
/// A new member's capacity rises to its whole over this time.
constexpr duration ramp_up_time = std::chrono::seconds{60};
constexpr double initial_ramp_up_factor = 0.25;

/// Requests a second by slice and by hot key, as last reported.
struct observed_load {
    /// What a slice counts for besides its requests, so that slices spread
    /// without any traffic.
    double base_slice_load{default_base_slice_load};
    std::map<service_id, std::vector<float>> slices;
    std::map<range_id, float> keys;
};

/// A member as a place for ranges.
struct member_load {
    member::member_ref self;
    /// Slots by service that it serves, less while it is cold.
    std::map<service_id, double> capacity;
    /// The sum over its ranges of load by capacity.
    double load{0};
    /// Whether it may be given ranges.
    bool accepts_ranges{false};
};

struct load_distribution {
    /// Sorted by host; one entry a host.
    std::vector<member_load> members;
    /// The mean of `load` over the members that take ranges.
    double mean_load{0};
};

/// When the planner first saw each member; those it found when it took the
/// role count as warm.
using first_seen_times = std::map<member::member_ref, instant>;

/// What share of its capacity a member first seen at `seen` offers at `now`.
[[nodiscard]] double ramp_up_factor(instant seen, instant now);

/// Sets what an idle slice counts for by the load reported so far.
void update_base_slice_load(observed_load& load);

/// The load of `range` as placement counts it.
[[nodiscard]] double load_of(const observed_load& load, const range_id& range);

/// The members with the load that `map` gives them.
[[nodiscard]] load_distribution compute_load_distribution(
    const std::map<host_id, member::member_record>& records,
    const first_seen_times& first_seen,
    const assignment_map& map,
    const observed_load& load,
    instant now
);

/// The member's entry, or nothing.
[[nodiscard]] member_load*
find_member(load_distribution& distribution, const member::member_ref& member);

/// What `load` of `service` adds to the member's load.
[[nodiscard]] double relative_load(
    const member_load& member, const service_id& service, double load
);

struct range_with_load {
    range_id range;
    double load{0};
};

struct placed_range {
    range_id range;
    member::member_ref to;
};

/// Gives each range to the member that has the least load with it, heaviest
/// range first, and counts the load. Ranges that nobody can take are left
/// out.
[[nodiscard]] std::vector<placed_range> place_ranges(
    load_distribution& distribution, std::vector<range_with_load> ranges
);

/// The largest load over the mean load of members that take ranges.
[[nodiscard]] double load_imbalance(const load_distribution& distribution);

/// Whether the owner's record shows that it owns nothing any more.
[[nodiscard]] bool is_former_member(
    const std::map<host_id, member::member_record>& records,
    const member::member_ref& owner
);

} // namespace apricotstile::assignment

#endif

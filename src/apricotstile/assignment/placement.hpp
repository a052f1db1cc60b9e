// Distribution of load over members, and placement of ranges without an owner.

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

/// Base load of a slice, in requests per second, while no load is reported.
constexpr double default_base_slice_load = 1.0;
/// Base load of a slice as a fraction of the mean reported load of a slice.
constexpr double base_slice_load_ratio = 0.05;
/// Time over which a new member's capacity rises linearly to its full value.
constexpr duration ramp_up_time = std::chrono::seconds{60};
/// Lower bound of the fraction of its capacity that a new member offers.
constexpr double initial_ramp_up_factor = 0.25;

/// Last reported requests per second of slices and hot keys.
struct observed_load {
    /// Added to the reported load of each slice, so that slices are spread
    /// evenly even without traffic.
    double base_slice_load{default_base_slice_load};
    std::map<service_id, std::vector<float>> slices;
    std::map<range_id, float> keys;
};

/// A member with its capacity and its load.
struct member_load {
    member::member_ref self;
    /// Slots for each service that it serves, reduced during ramp-up.
    std::map<service_id, double> capacity;
    /// Sum of load divided by capacity over all ranges that it owns.
    double load{0};
    /// Whether ranges may be assigned to it: its state is active.
    bool accepts_ranges{false};
};

struct load_distribution {
    /// Sorted by host, one entry per host.
    std::vector<member_load> members;
    /// Mean of `load` over the members that accept ranges.
    double mean_load{0};
};

/// When the planner first saw each member. Members that were present when it
/// acquired the role have no entry and count as ramped up.
using first_seen_times = std::map<member::member_ref, instant>;

/// Returns the fraction of its capacity that a member first seen at `seen`
/// offers at `now`.
[[nodiscard]] double ramp_up_factor(instant seen, instant now);

/// Sets the base load of a slice from the load reported so far.
void update_base_slice_load(observed_load& load);

/// Returns the load of `range` in requests per second; for a slice, its base
/// load is included.
[[nodiscard]] double load_of(const observed_load& load, const range_id& range);

/// Computes each member's load from the ranges that `map` assigns to it.
[[nodiscard]] load_distribution compute_load_distribution(
    const std::map<host_id, member::member_record>& records,
    const first_seen_times& first_seen,
    const assignment_map& map,
    const observed_load& load,
    instant now
);

/// Returns the entry of `member`, or null if there is none.
[[nodiscard]] member_load*
find_member(load_distribution& distribution, const member::member_ref& member);

/// Returns `load` divided by the member's capacity for `service`: what it adds
/// to the member's load.
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

/// Assigns each range to the least loaded member that serves its service,
/// heaviest range first, and adds the load to the member. Ranges that no member
/// can accept are omitted from the result.
[[nodiscard]] std::vector<placed_range> place_ranges(
    load_distribution& distribution, std::vector<range_with_load> ranges
);

/// Returns the largest load divided by the mean load of the members that
/// accept ranges.
[[nodiscard]] double load_imbalance(const load_distribution& distribution);

/// Whether the records show that `owner` can't own ranges any more: it was
/// deposed, has left, or its host runs a later incarnation. An unknown host
/// counts as a member.
[[nodiscard]] bool is_former_member(
    const std::map<host_id, member::member_record>& records,
    const member::member_ref& owner
);

} // namespace apricotstile::assignment

#endif

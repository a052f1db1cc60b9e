// Summary of a participant's state for operators' dumps.

#ifndef APRICOTSTILE_LEASE_DESCRIPTION_HPP
#define APRICOTSTILE_LEASE_DESCRIPTION_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/member/member_record.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace apricotstile::lease {

struct participant;

struct guardian_description {
    member::member_ref guardian;
    /// Remaining time of its promise; zero when it has expired.
    duration promised_for{};
    /// Time since its last answer.
    duration silent_for{};
};

struct guarded_holder_description {
    member::member_ref holder;
    guardian_generation generation;
    duration promised_for{};
    /// Whether this daemon has consented to the holder's deposition.
    bool consented{false};
};

struct description {
    /// "joining", "joined" or "left".
    std::string_view stage;
    member::member_ref self;
    guardian_generation generation;
    /// Whether the lease is renewed in the table because there are too few
    /// members for guardians.
    bool renews_in_table{false};
    /// Remaining time of the lease; zero when it has expired.
    duration lease_valid_for{};
    /// Whether the outcome of a write of this member's row is still unknown.
    bool write_pending{false};
    std::vector<guardian_description> guardians;
    /// Members whose lease this daemon guards.
    std::vector<guarded_holder_description> guarded_holders;
    /// Members that this daemon has been asked to depose.
    std::vector<member::member_ref> suspects;
    std::size_t known_members{0};
    host_id planner;
};

[[nodiscard]] description describe(const participant& self, instant now);

} // namespace apricotstile::lease

#endif

// A participant's state in a form for operators' dumps.

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
    /// For how long its promise still counts; zero when it has run out.
    duration promised_for{};
    /// How long ago it last answered.
    duration silent_for{};
};

struct ward_description {
    member::member_ref holder;
    guardian_generation generation;
    duration promised_for{};
    /// This daemon has consented to the ward's deposition.
    bool consented{false};
};

struct description {
    /// "joining", "joined" or "left".
    std::string_view stage;
    member::member_ref self;
    guardian_generation generation;
    /// Whether the lease is renewed in the table for want of guardians.
    bool renews_in_table{false};
    /// Zero when the lease has run out.
    duration lease_valid_for{};
    /// A write of the own row whose outcome isn't known yet.
    bool write_pending{false};
    std::vector<guardian_description> guardians;
    std::vector<ward_description> wards;
    /// Members that this daemon is trying to depose.
    std::vector<member::member_ref> suspects;
    std::size_t known_members{0};
    host_id planner;
};

[[nodiscard]] description describe(const participant& self, instant now);

} // namespace apricotstile::lease

#endif

// What an operator is told about an apply.

#ifndef APRICOTSTILE_PLAN_APPLY_REPORT_HPP
#define APRICOTSTILE_PLAN_APPLY_REPORT_HPP

#include <apricotstile/plan/difference.hpp>
#include <apricotstile/plan/version_body.hpp>

#include <optional>
#include <string_view>

namespace apricotstile::plan {

enum class apply_status : std::uint8_t {
    /// The lists are the version `head`, or were and have a successor.
    applied,
    /// Another version came first; nothing was changed.
    lost_race,
    /// Nothing was changed and nothing will be.
    not_applied,
    /// It may yet take effect. Apply again with the same id to learn.
    unsettled
};

struct apply_report {
    apply_id id;
    apply_status status{apply_status::unsettled};
    /// With `applied` the version made, else the head as last read.
    plan_version version;
    /// With `lost_race`, what the others changed since the base, unless the
    /// bodies couldn't be read.
    std::optional<plan_difference> changed_since_base;
};

[[nodiscard]] std::string_view to_string(apply_status value);

} // namespace apricotstile::plan

#endif

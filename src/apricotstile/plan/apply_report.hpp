// The result of an apply, reported to the operator.

#ifndef APRICOTSTILE_PLAN_APPLY_REPORT_HPP
#define APRICOTSTILE_PLAN_APPLY_REPORT_HPP

#include <apricotstile/plan/difference.hpp>
#include <apricotstile/plan/version_body.hpp>

#include <optional>
#include <string_view>

namespace apricotstile::plan {

enum class apply_status : std::uint8_t {
    /// The lists were committed as a version, which is the head or was and has
    /// a successor.
    applied,
    /// Another version was committed first; nothing was changed.
    lost_race,
    /// Nothing was changed, and the apply won't take effect later.
    not_applied,
    /// The outcome is unknown, the apply may still take effect. Applying again
    /// with the same id reports the outcome.
    unsettled
};

struct apply_report {
    apply_id id;
    apply_status status{apply_status::unsettled};
    /// With `applied` the version created, otherwise the head as last read.
    plan_version version;
    /// With `lost_race`, what others have changed since the base, unless the
    /// bodies couldn't be read.
    std::optional<plan_difference> changed_since_base;
};

[[nodiscard]] std::string_view to_string(apply_status value);

} // namespace apricotstile::plan

#endif

// Faults of the platform stand-in, set by flags or by POST /faults.

#ifndef APRICOTSTILE_STANDINS_PLATFORM_PLATFORM_FAULTS_HPP
#define APRICOTSTILE_STANDINS_PLATFORM_PLATFORM_FAULTS_HPP

#include <apricotstile/core/time.hpp>

#include <string>

namespace apricotstile::standins {

struct platform_faults {
    /// Every call is refused with 503 and without effect.
    bool down{false};
    /// Calls are neither executed nor answered; connections stay open.
    bool silent{false};
    /// Writes take effect, but their connections close without an answer.
    bool lose_answers{false};
    /// Added to every answer.
    duration latency{0};
    /// With `lose_answers`: writes take effect only after this time.
    duration late_effect{0};
};

/// `before` with the fields that `text` names replaced. Throws
/// std::invalid_argument or an exception of the JSON library.
[[nodiscard]] platform_faults
changed_by(const platform_faults& before, const std::string& text);

[[nodiscard]] std::string to_json(const platform_faults& faults);

} // namespace apricotstile::standins

#endif

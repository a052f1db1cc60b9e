// An announcement of an instance that it leaves, other than by a heartbeat.

#ifndef APRICOTSTILE_DIRECTORY_DEREGISTRATION_HPP
#define APRICOTSTILE_DIRECTORY_DEREGISTRATION_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace apricotstile::directory {

struct deregistration {
    std::string instance_id;
    /// Start of its run in Unix milliseconds; if it isn't given, any run that
    /// has started by now may be meant.
    std::optional<std::int64_t> started_ms;

    friend bool
    operator==(const deregistration&, const deregistration&) = default;
};

} // namespace apricotstile::directory

#endif

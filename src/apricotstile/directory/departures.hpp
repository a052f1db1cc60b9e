// Which runs of the instance beside a daemon have announced that they leave. A
// departure is final: nothing that a run says later takes it back.

#ifndef APRICOTSTILE_DIRECTORY_DEPARTURES_HPP
#define APRICOTSTILE_DIRECTORY_DEPARTURES_HPP

#include <apricotstile/directory/instance_run.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace apricotstile::directory {

/// Of all runs with this id that started at `latest_start_ms` or before.
struct departure {
    std::string instance_id;
    /// Unix milliseconds.
    std::int64_t latest_start_ms{0};

    friend bool operator==(const departure&, const departure&) = default;
};

/// At most `max_departures`, one for each instance id. Those of the latest
/// starts are kept.
using departures = std::vector<departure>;

/// Instances follow one another beside a daemon, so older ones have ended.
inline constexpr std::size_t max_departures = 4;

/// Returns whether `known` has changed.
bool add_departure(departures& known, const departure& added);

/// Adds all of `added`. Returns whether `known` has changed.
bool add_departures(departures& known, const departures& added);

[[nodiscard]] bool
has_departed(const departures& known, const instance_run& instance);

template <class Archive>
void serialize(Archive& archive, departure& value) {
    archive(value.instance_id, value.latest_start_ms);
}

} // namespace apricotstile::directory

#endif

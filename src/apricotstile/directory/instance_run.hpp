// Identifies one run of an upstream instance.

#ifndef APRICOTSTILE_DIRECTORY_INSTANCE_RUN_HPP
#define APRICOTSTILE_DIRECTORY_INSTANCE_RUN_HPP

#include <cstdint>
#include <string>

namespace apricotstile::directory {

/// One run of an upstream instance. An instance that restarts with the same id
/// counts as a different one, since it has lost its keys and its state.
struct instance_run {
    /// Empty means "no instance".
    std::string id;
    /// Its start in Unix milliseconds, by its own clock.
    std::int64_t started_ms{0};

    friend bool operator==(const instance_run&, const instance_run&) = default;
};

template <class Archive>
void serialize(Archive& archive, instance_run& value) {
    archive(value.id, value.started_ms);
}

} // namespace apricotstile::directory

#endif

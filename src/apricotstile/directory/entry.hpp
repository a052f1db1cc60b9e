// What one daemon tells the others about itself and the upstream instance
// beside it.

#ifndef APRICOTSTILE_DIRECTORY_ENTRY_HPP
#define APRICOTSTILE_DIRECTORY_ENTRY_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/host/location.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace apricotstile::directory {

/// One life of an upstream instance. An instance that starts again under its
/// old id is another life, since it holds and knows nothing of before.
struct instance_life {
    /// Empty for none.
    std::string id;
    /// Unix milliseconds of its start, by its own clock.
    std::int64_t born_ms{0};

    friend bool
    operator==(const instance_life&, const instance_life&) = default;
};

enum class instance_state : std::uint8_t { absent, ready, draining };

/// The state's name in logs.
[[nodiscard]] std::string_view name_of(instance_state state);

struct entry {
    host_id host;
    location where;
    /// Of the daemon; a later start has a larger one.
    incarnation run;
    /// Rises with each change that this incarnation tells.
    std::uint64_t change{0};
    service_id service;
    instance_life life;
    instance_state state{instance_state::absent};
    /// Requests that the instance runs at once.
    std::uint32_t slots{0};
    /// Whether the daemon is stopping.
    bool stopping{false};
};

template <class Archive>
void serialize(Archive& archive, instance_life& value) {
    archive(value.id, value.born_ms);
}

template <class Archive>
void serialize(Archive& archive, entry& value) {
    archive(
        value.host,
        value.where,
        value.run,
        value.change,
        value.service,
        value.life,
        value.state,
        value.slots,
        value.stopping
    );
}

} // namespace apricotstile::directory

#endif

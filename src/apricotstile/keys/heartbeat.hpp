// What an upstream instance tells the daemon beside it, and the answer that
// lets it hold keys.

#ifndef APRICOTSTILE_KEYS_HEARTBEAT_HPP
#define APRICOTSTILE_KEYS_HEARTBEAT_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/keys/key_map.hpp>

namespace apricotstile::keys {

struct held_range {
    key_range keys;
    fencing_token fence;
};

struct released_range {
    key_range keys;
    /// Lets the next holder start warm.
    std::string handover;
};

struct heartbeat {
    service_id service;
    directory::instance_life life;
    /// Rises with each heartbeat of one life.
    std::uint64_t sequence{0};
    directory::instance_state state{directory::instance_state::ready};
    std::uint32_t slots{0};
    /// Ranges that the instance holds, or still works on.
    std::vector<held_range> holds;
    /// Ranges released since the last heartbeat that was answered.
    std::vector<released_range> released;
};

struct key_grant {
    key_range keys;
    fencing_token fence;
    std::string handover;
};

struct heartbeat_answer {
    /// Whether the answer renews or ends holds at all.
    bool grants{false};
    /// All that the instance is to hold; it releases the rest.
    std::vector<key_grant> keys;
    /// How long, counted from when the heartbeat was sent.
    duration hold{0};
};

} // namespace apricotstile::keys

#endif

// The heartbeat that an upstream instance sends to the daemon on its host, and
// the answer, which grants key ranges to the instance for a limited time.

#ifndef APRICOTSTILE_KEYS_HEARTBEAT_HPP
#define APRICOTSTILE_KEYS_HEARTBEAT_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/keys/key_map.hpp>

#include <vector>

namespace apricotstile::keys {

struct held_range {
    key_range keys;
    fencing_token fence;
};

struct released_range {
    key_range keys;
    /// Opaque state for the next holder, so that it starts with warm caches.
    std::string handover;
};

struct heartbeat {
    service_id service;
    directory::instance_run instance;
    /// Increases with each heartbeat of one run of the instance.
    std::uint64_t sequence{0};
    directory::instance_state state{directory::instance_state::ready};
    std::uint32_t slots{0};
    /// How long the instance says that it stays cold; zero if it isn't cold.
    duration cold_remaining{0};
    /// Whether the instance says what it holds and has released.
    bool reports_keys{false};
    /// Ranges that the instance holds, or for which requests still run.
    std::vector<held_range> holds;
    /// Ranges released since the last heartbeat that got an answer.
    std::vector<released_range> released;
};

struct key_grant {
    key_range keys;
    fencing_token fence;
    std::string handover;
};

struct heartbeat_answer {
    /// If false, the answer changes nothing: the instance keeps what it holds
    /// until its last grant expires.
    bool grants{false};
    /// All ranges that the instance may hold; it releases any other.
    std::vector<key_grant> keys;
    /// How long the grants last, counted by the instance from the time at
    /// which it sent the heartbeat.
    duration grant_duration{0};
};

} // namespace apricotstile::keys

#endif

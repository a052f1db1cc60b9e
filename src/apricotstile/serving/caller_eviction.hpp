// Chooses the callers' connections that are closed when there is no room for
// another message or connection. Without it, callers that send their bodies or
// read their answers without end would keep all others out for as long as they
// stay connected. Only connections on which nothing has moved for a while are
// chosen: a request that is still incomplete hasn't run.

#ifndef APRICOTSTILE_SERVING_CALLER_EVICTION_HPP
#define APRICOTSTILE_SERVING_CALLER_EVICTION_HPP

#include <apricotstile/core/strong_id.hpp>
#include <apricotstile/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace apricotstile::serving {

/// A caller's connection.
using caller_id = strong_id<struct caller_id_tag, std::uint64_t>;

enum class caller_state : std::uint8_t {
    /// Nothing is awaited of either side.
    idle,
    /// Its request hasn't arrived completely.
    sending,
    /// Its request waits for an answer.
    waiting,
    /// It hasn't read its answers completely.
    reading
};

struct caller_use {
    caller_id id;
    caller_state state{caller_state::idle};
    /// Memory that the connection takes.
    std::size_t bytes{0};
    /// For how long less than a small piece was sent or read.
    duration stalled{0};
};

struct eviction_policy {
    /// Requests may be refused that have stalled for longer.
    duration request_stall{std::chrono::seconds{1}};
    /// Answers may be cut off that have stalled for longer. Their requests have
    /// run, so they are given more time.
    duration answer_stall{std::chrono::seconds{5}};
};

/// The connections to close so that at least `bytes` are returned, those that
/// hold most first; none if all together don't suffice.
[[nodiscard]] std::vector<caller_id> evict_for_memory(
    std::vector<caller_use> callers,
    std::size_t bytes,
    const eviction_policy& policy
);

/// The connection to close so that another one can be accepted: the one that
/// has been idle for longest, or else the request that has stalled for longest.
[[nodiscard]] std::optional<caller_id> evict_for_connection(
    const std::vector<caller_use>& callers, const eviction_policy& policy
);

} // namespace apricotstile::serving

#endif

// Bounds the requests that an instance receives while it is cold: for some
// seconds after its start, or whenever it says so. A cold instance can crash
// under a load that a warm one handles. All instances of a failure domain that
// comes back are cold together, and each has no work, so that every host sends
// its requests there.
//
// A token bucket: one token a start, refilled at a fixed rate. Starts are
// counted while the instance is warm as well, since those of the last second
// count when it turns cold.

#ifndef APRICOTSTILE_SERVING_COLD_LIMIT_HPP
#define APRICOTSTILE_SERVING_COLD_LIMIT_HPP

#include <apricotstile/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace apricotstile::serving {

/// The deployment's bound on the requests that a cold instance receives in any
/// second: `overage` times the rate that its service tolerates, and `slack`.
struct cold_bounds {
    double overage{1};
    double slack{0};
};

/// A request may arrive at the instance this much later than it was counted,
/// since its connection may have to be opened first.
constexpr duration max_send_delay = std::chrono::milliseconds{100};

struct cold_policy {
    /// Tokens a second.
    double per_second{1};
    /// Maximum number of tokens; at least one.
    double burst{1};
    /// How long an instance is cold after its start.
    duration start_time{0};
};

/// The policy by which the requests that arrive in any second stay within
/// `bounds`; nothing if there are no bounds, or the service has no rate.
[[nodiscard]] std::optional<cold_policy> make_cold_policy(
    const std::optional<cold_bounds>& bounds,
    double tolerated_per_second,
    duration start_time
);

struct cold_limit {
    /// Nothing if cold instances have no limit.
    std::optional<cold_policy> policy;
    /// As of `counted_at`; negative after more starts than the limit allows,
    /// while the instance was warm.
    double tokens{0};
    instant counted_at;
    /// The latest time until which the instance has said that it is cold.
    instant stated_until;
    /// Set while the instance may have restarted without having said so.
    std::optional<instant> down_since;
    /// Requests refused because of this limit.
    std::uint64_t rejections{0};
};

/// Sets or removes the policy. A new limit begins without tokens: an earlier
/// run of this daemon may have used all of them right before it ended.
void set_cold_policy(
    cold_limit& limit, const std::optional<cold_policy>& policy, instant now
);

/// The time for which an instance says that it stays cold, given in
/// milliseconds; ten minutes at most. Nothing if the value is malformed.
[[nodiscard]] std::optional<duration> cold_time_from_millis(double millis);

/// The instance says that it is cold for this time from now on. Doesn't shorten
/// what it said before.
void note_cold_time(cold_limit& limit, duration remaining, instant now);

/// The instance refused a connection or crashed. It may restart under the same
/// id and get requests before it says that it is cold, so it counts as cold
/// until its next heartbeat, for `start_time` at most.
void note_instance_down(cold_limit& limit, instant now);

/// A heartbeat has arrived, so the instance's own word counts again. Shortly
/// after the instance went down it may be one of the run that has ended, unless
/// it is the first one of a new run.
void note_heartbeat(cold_limit& limit, bool is_new_run, instant now);

/// Until when the instance counts as cold, if that is after now.
[[nodiscard]] instant cold_until(const cold_limit& limit);

/// Whether the instance counts as cold, which is never so without a policy.
[[nodiscard]] bool is_cold(const cold_limit& limit, instant now);

/// How long until there are `starts` (at least one) tokens, or the instance is
/// warm; zero if they may start now.
[[nodiscard]] duration
wait_for_tokens(const cold_limit& limit, std::size_t starts, instant now);

/// Records a start, warm or cold.
void count_token(cold_limit& limit, instant now);

/// A request that was counted at `counted` is sent only now. If that is over
/// `max_send_delay` later, it arrives in another second than it was counted in,
/// and is counted again. Returns zero if it may be sent, or else how long until
/// a token is due; it isn't counted then.
[[nodiscard]] duration
count_late_send(cold_limit& limit, instant counted, instant now);

} // namespace apricotstile::serving

#endif

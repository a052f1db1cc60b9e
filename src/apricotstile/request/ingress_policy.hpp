// Limits of retries at an ingress daemon.

#ifndef APRICOTSTILE_REQUEST_INGRESS_POLICY_HPP
#define APRICOTSTILE_REQUEST_INGRESS_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace apricotstile::request {

/// Deliberate mistakes that show that the properties can fail. Only tests set
/// them.
struct ingress_faults {
    bool retries_unknown_non_idempotent{false};
    bool forgets_earlier_sends{false};
    bool ignores_retry_budget{false};
    bool reuses_stream_ids{false};
};

struct ingress_policy {
    /// Retries of one request at most.
    std::uint32_t max_retries{2};
    /// Before going back to an owner that isn't ready: it doesn't know yet
    /// that it is one, is handing the slice over, or waits for its lease.
    /// Doubled with each wait.
    duration owner_backoff{std::chrono::milliseconds{20}};
    /// Such waits of one request at most; 20 to 160 ms, 300 ms in all.
    std::uint32_t max_owner_waits{4};
    /// Told to callers when the refusing host names no time.
    duration default_retry_after{std::chrono::milliseconds{200}};
    /// Requests held at once; more are refused `overloaded`.
    std::size_t max_requests{8192};
    ingress_faults faults;
};

} // namespace apricotstile::request

#endif

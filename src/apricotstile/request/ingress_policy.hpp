// Limits for requests and retries at an ingress daemon.

#ifndef APRICOTSTILE_REQUEST_INGRESS_POLICY_HPP
#define APRICOTSTILE_REQUEST_INGRESS_POLICY_HPP

#include <apricotstile/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace apricotstile::request {

/// Injected faults, used to check that the property tests detect them. Only
/// tests set them.
struct ingress_faults {
    bool retries_unknown_non_idempotent{false};
    bool forgets_earlier_sends{false};
    bool ignores_retry_budget{false};
    bool reuses_stream_ids{false};
};

struct ingress_policy {
    /// Maximum number of retries of one request.
    std::uint32_t max_retries{2};
    /// Wait before the request is sent again to an owner that isn't ready: it
    /// doesn't know yet that it is the owner, is handing the slice over, or
    /// waits for its lease. Doubled with each wait.
    duration owner_backoff{std::chrono::milliseconds{20}};
    /// Maximum number of such waits of one request: 20, 40, 80 and 160 ms,
    /// 300 ms in total.
    std::uint32_t max_owner_waits{4};
    /// Sent to callers when the refusing host gives no time.
    duration default_retry_after{std::chrono::milliseconds{200}};
    /// Maximum number of open requests; more are refused with `overloaded`.
    std::size_t max_requests{8192};
    ingress_faults faults;
};

} // namespace apricotstile::request

#endif

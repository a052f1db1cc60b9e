// Admission control at the ingress daemon. Each customer's requests are
// admitted under a share of the customer's limits, lent by the daemon that
// owns the customer.
//
// A share expires by this daemon's clock, one lifetime after the claim that it
// answers was sent. Its token bucket holds at most its burst, and the rates
// and bursts of all shares never add up to more than the plan. In any window
// of length t all daemons together therefore admit at most `burst + rate * t`
// requests.

#ifndef APRICOTSTILE_SHARE_INGRESS_HPP
#define APRICOTSTILE_SHARE_INGRESS_HPP

#include <apricotstile/plan/plan_book.hpp>
#include <apricotstile/request/outcome.hpp>
#include <apricotstile/share/share_message.hpp>
#include <apricotstile/share/share_policy.hpp>

#include <array>
#include <functional>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace apricotstile::share {

/// Number of claims per customer whose send time is kept. A grant that answers
/// an older claim is ignored.
constexpr std::size_t max_tracked_claims = 4;

/// A claim that was sent, and when.
struct sent_claim {
    std::uint64_t claim_number{0};
    instant sent;
};

/// One customer's share and demand at this daemon.
struct customer_use {
    /// Limits cached by the last lookup; valid only for this book and version.
    const plan::plan_book* book{nullptr};
    plan_version book_version;
    const plan::plan_limits* limits{nullptr};
    share_amount amount;
    /// The plan's limit at the time when the share was lent.
    share_amount limit;
    instant expires;
    fencing_token epoch;
    std::uint64_t sequence{0};
    token_bucket requests;
    token_bucket cross_region;
    /// Bytes charged beyond the level of the bucket. Later refills pay them
    /// off before new requests are admitted.
    std::uint64_t cross_region_debt{0};
    std::uint32_t running{0};
    std::uint32_t peak_running{0};
    /// Requests refused by the concurrency limit since the last claim.
    std::uint32_t refused_by_concurrency{0};
    /// Requests since the last tick.
    std::uint32_t arrivals{0};
    /// Moving averages, in thousandths of a request per second.
    std::uint64_t demand{0};
    std::uint64_t recent_demand{0};
    /// Newest first.
    std::array<sent_claim, max_tracked_claims> claims{};
    /// Send time of the oldest claim that has no grant yet.
    std::optional<instant> unanswered_since;
    instant next_claim;
    /// Whether to send a claim as soon as the change interval allows.
    bool urgent{false};
    instant last_arrival;
    std::uint64_t claimed_demand{0};
    /// Tokens dropped from `requests` since the last claim, as a level.
    std::uint64_t returned{0};
};

struct ingress_state {
    share_policy policy;
    member::member_ref self;
    std::unordered_map<customer_id, customer_use> customers;
    /// Counts over all customers, so that no number is ever used twice.
    std::uint64_t last_claim_number{0};
    instant last_tick;
};

struct admission_request {
    const customer_id& customer;
    const service_id& service;
    /// Time until the caller's deadline.
    duration time_left{0};
    /// Size of the request when its owner is in another region, else zero.
    std::uint64_t cross_region_bytes{0};
};

enum class admission_status : std::uint8_t {
    /// Call `finish` exactly once when the request has ended.
    admitted,
    /// The request does not run.
    refused,
    /// The first share has been requested: queue the request and call `admit`
    /// again after the next grant for the customer or `retry_after`.
    wait_for_share
};

struct admission {
    admission_status status{admission_status::refused};
    request::refusal refusal{request::refusal::none};
    duration retry_after{0};
    /// With `admitted`: the request must end within this time.
    duration time_allowed{0};
    /// With `admitted`: the plan version that was applied.
    plan_version version;
    request::work_class priority{request::work_class::normal};
};

/// Admits or refuses one request, in constant time.
[[nodiscard]] admission admit(
    ingress_state& state,
    const plan::plan_book& book,
    const admission_request& request,
    instant now
);

/// Ends an admitted request, whether it was answered, refused later or given
/// up.
void finish(ingress_state& state, const customer_id& customer);

/// Charges the bytes of a response from another region.
void charge_cross_region(
    ingress_state& state, const customer_id& customer, std::uint64_t bytes
);

/// Returns the daemon that owns the customer, or host zero when none is known.
using owner_lookup = std::function<host_id(const customer_id&)>;

/// Send every 100 ms.
struct ingress_tick {};

/// Send when `admit` returned `wait_for_share`, to claim a share immediately.
struct share_wanted {
    customer_id customer;
};

struct grants_received {
    share_grants grants;
};

using ingress_event = std::variant<ingress_tick, share_wanted, grants_received>;

struct send_claims {
    host_id to;
    share_claims claims;
};

/// Queued requests of the customer should call `admit` again.
struct share_changed {
    customer_id customer;
};

using ingress_action = std::variant<send_claims, share_changed>;

[[nodiscard]] std::vector<ingress_action> step(
    ingress_state& state,
    const ingress_event& event,
    const owner_lookup& owner_of,
    instant now
);

} // namespace apricotstile::share

#endif

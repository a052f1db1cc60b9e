// Admission at the ingress daemon: each customer's requests are admitted
// under shares of its limits that its owner lends.
//
// A share runs out on this daemon's own clock, a lifetime after the claim was
// sent that it answers. Its bucket holds at most its burst, and the shares'
// rates and bursts never add up to more than the plan, so in any window of
// length t at most `burst + rate * t` requests are admitted everywhere.

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

/// Sent times are kept for so many claims; a later grant for an older claim
/// is ignored.
constexpr std::size_t remembered_claims = 4;

/// A claim as its holder remembers it.
struct sent_claim {
    std::uint64_t mark{0};
    instant sent;
};

/// One customer's use of this daemon.
struct customer_use {
    /// Look-ups kept from the last request; valid for this very book.
    const plan::plan_book* book{nullptr};
    plan_version book_version;
    const plan::plan_limits* limits{nullptr};
    share_amount amount;
    /// The plan's limit that the share was lent under.
    share_amount limit;
    instant expires;
    fencing_token epoch;
    std::uint64_t sequence{0};
    token_bucket requests;
    token_bucket cross_region;
    /// Bytes of responses beyond what the bucket held; paid off first.
    std::uint64_t cross_region_debt{0};
    std::uint32_t running{0};
    std::uint32_t peak_running{0};
    /// Refused for want of requests at once, since the last claim.
    std::uint32_t refused_at_once{0};
    /// Since the last tick.
    std::uint32_t arrivals{0};
    /// Thousandths of a request a second, smoothed.
    std::uint64_t demand{0};
    std::uint64_t recent_demand{0};
    /// The newest first.
    std::array<sent_claim, remembered_claims> claims{};
    /// When the oldest claim without a grant was sent.
    std::optional<instant> unanswered_since;
    instant next_claim;
    /// A claim is due as soon as the change interval allows.
    bool urgent{false};
    instant last_arrival;
    std::uint64_t claimed_demand{0};
    /// Dropped from `requests` since the last claim.
    std::uint64_t returned{0};
};

struct ingress_state {
    share_policy policy;
    member::member_ref self;
    std::unordered_map<customer_id, customer_use> customers;
    /// Over all customers, so that no mark ever comes twice.
    std::uint64_t last_mark{0};
    instant last_tick;
};

struct admission_request {
    const customer_id& customer;
    const service_id& service;
    /// Until the caller's deadline.
    duration time_left{0};
    /// Of the request, when its owner is in another region.
    std::uint64_t cross_region_bytes{0};
};

enum class admission_status : std::uint8_t {
    /// Call `finish` exactly once when the request is settled.
    admitted,
    /// It is certainly not run.
    refused,
    /// The first share is on its way: hold the request, and ask again after
    /// the next grants for the customer or `retry_after`.
    wait_for_share
};

struct admission {
    admission_status status{admission_status::refused};
    request::refusal refusal{request::refusal::none};
    duration retry_after{0};
    /// With `admitted`: the request must be settled within this time.
    duration time_allowed{0};
    /// With `admitted`: the version that it was admitted by.
    plan_version version;
    request::work_class priority{request::work_class::normal};
};

/// Decides on one request in constant time.
[[nodiscard]] admission admit(
    ingress_state& state,
    const plan::plan_book& book,
    const admission_request& request,
    instant now
);

/// The admitted request was answered, refused further on, or given up.
void finish(ingress_state& state, const customer_id& customer);

/// Counts a response's bytes from another region.
void charge_cross_region(
    ingress_state& state, const customer_id& customer, std::uint64_t bytes
);

/// The daemon that owns the customer, host zero for none known.
using owner_lookup = std::function<host_id(const customer_id&)>;

/// Feed every 100 ms.
struct ingress_tick {};

/// Feed when `admit` answered `wait_for_share`, to claim without delay.
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

/// Requests that wait for the customer's share can be tried again.
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

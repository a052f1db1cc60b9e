// One request as it reached the upstream stand-in.

#ifndef APRICOTSTILE_STANDINS_UPSTREAM_WORK_ITEM_HPP
#define APRICOTSTILE_STANDINS_UPSTREAM_WORK_ITEM_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>

#include <string>

namespace apricotstile::standins {

/// Counted by one run of the upstream.
using work_id = strong_id<struct work_id_tag, std::uint64_t>;

struct work_item {
    work_id id;
    /// The daemon's name for the request, by which it is cancelled.
    std::string request_name;
    /// The load caller's name for the call; the same in every attempt.
    std::string call;
    idempotency_key caller_key;
    customer_id customer;
    service_id service;
    std::string key;
    slice_id slice;
    fencing_token token;
    instant deadline{};
    /// True when running it brings the process down.
    bool poison{false};
};

} // namespace apricotstile::standins

#endif

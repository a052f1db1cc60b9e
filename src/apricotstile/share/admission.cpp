// Admits or refuses requests under the shares that this daemon holds.

#include <apricotstile/share/ingress.hpp>
#include <apricotstile/share/internal/customer_share.hpp>

#include <algorithm>

namespace apricotstile::share {

namespace {

using internal::accrual_end;
using internal::is_live;
using internal::refill_cross_region;

constexpr duration min_retry_after = std::chrono::milliseconds{10};
constexpr duration max_retry_after = std::chrono::seconds{5};

admission refuse(request::refusal why, duration retry_after = duration{0}) {
    return {admission_status::refused, why, retry_after, {}, {}, {}};
}

admission refuse_over_plan(duration retry_after) {
    return refuse(
        request::refusal::over_plan,
        std::clamp(retry_after, min_retry_after, max_retry_after)
    );
}

/// Time until the bucket holds enough tokens for one request.
duration time_to_refill(const token_bucket& bucket) {
    if (bucket.rate == 0) {
        return max_retry_after;
    }
    const std::uint64_t missing = level_of_one_request - bucket.level;
    return duration{static_cast<duration::rep>(missing / bucket.rate + 1)};
}

bool has_cross_region_budget(customer_use& use, instant now) {
    refill_cross_region(use, now);
    return use.cross_region_debt == 0 &&
           use.cross_region.level >= level_of_one_unit;
}

void charge_bytes(customer_use& use, std::uint64_t bytes) {
    token_bucket& bucket = use.cross_region;
    const std::uint64_t paid =
        std::min(bytes, bucket.level / level_of_one_unit);
    bucket.level -= paid * level_of_one_unit;
    use.cross_region_debt += bytes - paid;
}

admission
wait_or_refuse(const ingress_state& state, customer_use& use, instant now) {
    use.urgent = true;
    const duration timeout = state.policy.grant_timeout;
    if (!use.unanswered_since) {
        return {
            admission_status::wait_for_share,
            request::refusal::over_plan,
            timeout,
            {},
            {},
            {}};
    }
    if (now - *use.unanswered_since <= timeout) {
        return {
            admission_status::wait_for_share,
            request::refusal::over_plan,
            *use.unanswered_since + timeout - now + min_retry_after,
            {},
            {},
            {}};
    }
    return refuse(request::refusal::no_owner, std::chrono::seconds{1});
}

admission admit_under_share(
    const ingress_state& state,
    customer_use& use,
    const admission_request& request,
    instant now
) {
    if (!is_usable(use.amount)) {
        use.urgent = true;
        return refuse_over_plan(state.policy.rotation_interval);
    }
    if (use.running >= use.amount.concurrency) {
        use.urgent = true;
        ++use.refused_by_concurrency;
        return refuse_over_plan(state.policy.change_interval);
    }
    if (request.cross_region_bytes > 0 && !has_cross_region_budget(use, now)) {
        return refuse_over_plan(std::chrono::seconds{1});
    }
    refill(use.requests, accrual_end(state, use, now));
    if (!take(use.requests, level_of_one_request)) {
        return refuse_over_plan(time_to_refill(use.requests));
    }
    charge_bytes(use, request.cross_region_bytes);
    ++use.running;
    use.peak_running = std::max(use.peak_running, use.running);
    admission result;
    result.status = admission_status::admitted;
    result.time_allowed =
        std::min(request.time_left, state.policy.longest_deadline);
    return result;
}

/// Caches the customer's limits until the plan book changes, which saves a
/// second lookup per request.
const plan::plan_limits* known_limits(
    customer_use& use, const plan::plan_book& book, const customer_id& customer
) {
    if (use.book != &book || use.book_version != book.version) {
        use.limits = plan::find_limits(book, customer);
        use.book = &book;
        use.book_version = book.version;
    }
    return use.limits;
}

} // namespace

admission admit(
    ingress_state& state,
    const plan::plan_book& book,
    const admission_request& request,
    instant now
) {
    auto found = state.customers.find(request.customer);
    const plan::plan_limits* limits = nullptr;
    if (found != state.customers.end()) {
        limits = known_limits(found->second, book, request.customer);
    } else {
        limits = plan::find_limits(book, request.customer);
    }
    if (limits == nullptr) {
        return refuse(request::refusal::unknown_customer);
    }
    if (!plan::allows(*limits, request.service)) {
        return refuse(request::refusal::not_allowed_by_plan);
    }
    if (found == state.customers.end()) {
        found = state.customers.try_emplace(request.customer).first;
    }
    customer_use& use = found->second;
    ++use.arrivals;
    use.last_arrival = now;
    if (!is_live(state, use, now)) {
        return wait_or_refuse(state, use, now);
    }
    admission result = admit_under_share(state, use, request, now);
    result.version = book.version;
    result.priority = limits->priority;
    return result;
}

void finish(ingress_state& state, const customer_id& customer) {
    const auto found = state.customers.find(customer);
    if (found != state.customers.end() && found->second.running > 0) {
        --found->second.running;
    }
}

void charge_cross_region(
    ingress_state& state, const customer_id& customer, std::uint64_t bytes
) {
    const auto found = state.customers.find(customer);
    if (found != state.customers.end()) {
        charge_bytes(found->second, bytes);
    }
}

} // namespace apricotstile::share

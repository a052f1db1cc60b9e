// Holds each customer to its plan before a request is routed.

#include <apricotstile/daemon/ingress_duty.hpp>

#include <apricotstile/daemon/internal/callers_protocol.hpp>

#include <algorithm>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;
using request::outcome;
using request::refusal;

constexpr std::size_t max_waiting_for_share = 4096;
/// The first share of a customer comes within a round trip or not at all.
constexpr duration longest_wait = 500ms;

} // namespace

void ingress_duty::refuse(
    http::exchange_id exchange, refusal reason, duration retry_after
) {
    request::routed_response response;
    response.outcome = outcome::not_run;
    response.refusal = reason;
    response.retry_after = retry_after;
    this->reply(exchange, response);
}

void ingress_duty::admit(unadmitted_request&& one) {
    const instant now = boot_clock::now();
    const duration time_left = one.started + one.request.time_left - now;
    const share::admission admitted = this->wiring.shares.admit(
        {one.request.customer, one.request.service, time_left, 0}, now
    );
    switch (admitted.status) {
    case share::admission_status::admitted:
        one.request.priority = admitted.priority;
        one.request.time_left =
            now - one.started + std::min(time_left, admitted.time_allowed);
        this->begin(std::move(one));
        return;
    case share::admission_status::refused:
        this->refuse(one.exchange, admitted.refusal, admitted.retry_after);
        return;
    case share::admission_status::wait_for_share:
        this->wait_for_share(std::move(one), admitted.retry_after);
        return;
    }
}

void ingress_duty::wait_for_share(unadmitted_request&& one, duration patience) {
    const instant now = boot_clock::now();
    const bool first_try = one.give_up == one.started;
    if (first_try) {
        const instant deadline = one.started + one.request.time_left;
        one.give_up = std::min(deadline, now + longest_wait);
    }
    if (now >= one.give_up || this->waiting_count >= max_waiting_for_share) {
        this->refuse(one.exchange, refusal::over_plan, patience);
        return;
    }
    const customer_id customer = one.request.customer;
    ++this->waiting_count;
    this->waiting_for_share[customer].push_back(std::move(one));
    this->wiring.control.push(share_needed{customer});
}

void ingress_duty::retry_waiting(const customer_id& customer) {
    auto node = this->waiting_for_share.extract(customer);
    if (node.empty()) {
        return;
    }
    this->waiting_count -= node.mapped().size();
    for (unadmitted_request& one : node.mapped()) {
        this->admit(std::move(one));
    }
}

void ingress_duty::expire_waiting() {
    if (this->waiting_count == 0) {
        return;
    }
    const instant now = boot_clock::now();
    std::vector<customer_id> due;
    for (const auto& [customer, queue] : this->waiting_for_share) {
        const bool any = std::any_of(
            queue.begin(),
            queue.end(),
            [&](const unadmitted_request& one) {
                return one.give_up <= now;
            }
        );
        if (any) {
            due.push_back(customer);
        }
    }
    for (const customer_id& customer : due) {
        this->retry_waiting(customer);
    }
}

} // namespace apricotstile::daemon

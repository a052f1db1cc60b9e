// Grants of fencing tokens to upstreams that check them. No grant outlives the
// lease.

#include <apricotstile/daemon/dispatch_duty.hpp>

#include <apricotstile/daemon/internal/local_upstream.hpp>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;
using internal::local_upstream;

constexpr duration grant_interval = 200ms;
constexpr duration grant_timeout = 500ms;
constexpr std::uint16_t status_ok = 200;

using grants = std::map<assignment::range_id, fencing_token>;

/// The body of POST /grants.
std::string grant_body(const grants& granting, duration valid_for) {
    nlohmann::json slices = nlohmann::json::array();
    for (const auto& [range, token] : granting) {
        slices.push_back(
            {{"service", range.service.value},
             {"slice", range.slice.value},
             {"token", token.value}}
        );
    }
    const auto valid = std::chrono::floor<std::chrono::milliseconds>(valid_for);
    return nlohmann::json{
        {"valid_ms", valid.count()}, {"slices", std::move(slices)}}
        .dump();
}

} // namespace

bool dispatch_duty::checks_tokens(const service_id& service) const {
    const auto found = this->wiring.fencing_of.find(service);
    return found != this->wiring.fencing_of.end() &&
           found->second == settings::fencing::checked;
}

bool dispatch_duty::is_granted(
    const local_upstream& upstream,
    const assignment::dispatch_decision& decision
) const {
    if (!this->checks_tokens(decision.range.service)) {
        return true;
    }
    const assignment::range_id slice{
        decision.range.service, decision.range.slice, {}};
    const auto found = upstream.granted.find(slice);
    return found != upstream.granted.end() && found->second == decision.token;
}

std::map<assignment::range_id, fencing_token>
dispatch_duty::missing_grants(const local_upstream& upstream) const {
    grants missing;
    const auto view = this->wiring.state.view.load();
    for (const member::served_service& served : upstream.said.services) {
        const auto found = view->map->services.find(served.service);
        if (!this->checks_tokens(served.service) ||
            found == view->map->services.end()) {
            continue;
        }
        const auto& assigned = found->second.slices;
        for (std::uint32_t index = 0; index < assigned.size(); ++index) {
            const assignment::range_id range{served.service, {index}, {}};
            const fencing_token token = assigned[index].token;
            const auto known = upstream.granted.find(range);
            const bool has_it =
                known != upstream.granted.end() && known->second == token;
            if (assigned[index].owner == view->self && !has_it) {
                missing[range] = token;
            }
        }
    }
    return missing;
}

void dispatch_duty::grant(local_upstream& upstream, instant now) {
    const auto view = this->wiring.state.view.load();
    const instant lease_end = this->wiring.state.lease_valid_until.load();
    if (upstream.grant_in_flight || view->map == nullptr || now >= lease_end ||
        !upstream.side_pool->has_room()) {
        return;
    }
    grants granting = this->missing_grants(upstream);
    if (granting.empty() && now - upstream.granted_at < grant_interval) {
        return;
    }
    http::http_request request;
    request.method = "POST";
    request.path = "/grants";
    // Counted from before the message leaves, so no grant outlives the lease.
    request.body = grant_body(granting, lease_end - now);
    upstream.grant_in_flight = true;
    upstream.granted_at = now;
    const address where = upstream.said.address;
    upstream.side_pool->start(
        request,
        grant_timeout,
        [this,
         where,
         granting = std::move(granting)](http::exchange_result&& result) {
            const bool accepted =
                result.failure == http::exchange_failure::none &&
                result.response.status == status_ok;
            this->take_grant_answer(where, granting, accepted);
        }
    );
}

void dispatch_duty::take_grant_answer(
    const address& where,
    const std::map<assignment::range_id, fencing_token>& granting,
    bool accepted
) {
    const auto found = this->upstreams.find(where);
    if (found == this->upstreams.end()) {
        return;
    }
    found->second.grant_in_flight = false;
    if (!accepted) {
        return;
    }
    for (const auto& [range, token] : granting) {
        found->second.granted[range] = token;
    }
    this->retry_held();
}

} // namespace apricotstile::daemon

// Where the ingress sends requests: to the owner of the key or, for services
// that aren't divided by key, to a chosen instance.

#include <apricotstile/daemon/ingress_duty.hpp>

#include <apricotstile/assignment/owner_lookup.hpp>
#include <apricotstile/request/ticket.hpp>

#include <vector>

namespace apricotstile::daemon {

namespace {

using request::refusal;

using known_instances =
    std::map<service_id, std::vector<upstream::known_instance>>;

known_instances instances_of(const routing_view& view) {
    known_instances result;
    for (const auto& [host, record] : view.members) {
        if (!member::owns_slices(record.state)) {
            continue;
        }
        for (const member::served_service& one : record.services) {
            if (!one.keyed) {
                result[one.service].push_back(
                    {host,
                     record.where,
                     one.slots,
                     record.state == member::member_state::draining}
                );
            }
        }
    }
    return result;
}

std::set<service_id> divided_services(const routing_view& view) {
    std::set<service_id> result;
    for (const auto& [host, record] : view.members) {
        for (const member::served_service& one : record.services) {
            if (one.keyed) {
                result.insert(one.service);
            }
        }
    }
    return result;
}

} // namespace

bool ingress_duty::has_owner(const request::routed_request& request) const {
    return !request.idempotent || request.ticket == request::ticket_wanted ||
           this->divided.contains(request.service) ||
           !this->balancer.services.contains(request.service);
}

request::ingress_event ingress_duty::find_route(const request::find_route& what
) {
    open_request& one = this->requests.at(what.id);
    if (this->decisions.attempts.at(what.id).keyed) {
        return this->find_owner(one, what.id);
    }
    return this->choose_instance(one, what);
}

request::ingress_event
ingress_duty::find_owner(const open_request& one, request_id id) const {
    const auto view = this->wiring.state.view.load();
    if (view->map == nullptr) {
        return request::no_route{id, refusal::no_owner, duration{0}};
    }
    const auto owner = assignment::find_owner(
        *view->map, one.request.service, one.request.key
    );
    if (!owner) {
        return request::no_route{id, refusal::unknown_service, duration{0}};
    }
    const host_id host = owner->assignment.owner.host;
    if (host == host_id{}) {
        return request::no_route{id, refusal::no_owner, duration{0}};
    }
    return request::route_found{id, host, view->map->version, duration{0}};
}

request::ingress_event ingress_duty::choose_instance(
    open_request& one, const request::find_route& what
) {
    const upstream::load_balancer_choice chosen = pick_instance(
        this->balancer,
        one.request.service,
        what.avoid,
        this->random,
        boot_clock::now()
    );
    if (chosen.host == host_id{}) {
        return request::no_route{what.id, chosen.refusal, chosen.retry_after};
    }
    one.placed = placement{chosen.host, {}};
    return request::route_found{
        what.id, chosen.host, this->decisions.map, duration{0}};
}

void ingress_duty::follow_view() {
    this->follow_map();
    auto view = this->wiring.state.view.load();
    if (view == this->followed) {
        return;
    }
    const instant now = boot_clock::now();
    known_instances known = instances_of(*view);
    for (const auto& [service, held] : this->balancer.services) {
        // Of a service that nobody serves any more.
        known.try_emplace(service);
    }
    for (const auto& [service, instances] : known) {
        set_instances(this->balancer, service, instances, now);
    }
    this->divided = divided_services(*view);
    this->followed = std::move(view);
}

void ingress_duty::follow_map() {
    const auto view = this->wiring.state.view.load();
    if (view->map != nullptr && view->map->version > this->decisions.map) {
        this->apply(request::map_changed{view->map->version});
    }
}

ingress_duty::open_request* ingress_duty::request_on(request_id stream) {
    const auto found = this->decisions.streams.find(stream);
    return found == this->decisions.streams.end()
               ? nullptr
               : &this->requests.at(found->second);
}

void ingress_duty::end_try(
    open_request& one,
    upstream::send_result result,
    const request::routed_response& response
) {
    if (!one.placed) {
        return;
    }
    const placement placed = *one.placed;
    one.placed.reset();
    const instant now = boot_clock::now();
    const bool was_sent = placed.sent != instant{};
    upstream::send_end end;
    end.result = was_sent ? result : upstream::send_result::abandoned;
    end.latency = was_sent ? now - placed.sent : duration{0};
    end.bytes = was_sent ? one.request.body.size() + response.body.size() : 0;
    end.retry_after = response.retry_after;
    note_end(this->balancer, one.request.service, placed.host, end, now);
}

} // namespace apricotstile::daemon

// Answers of the owner's side to the daemons that routed requests here.

#include <apricotstile/daemon/dispatch_duty.hpp>

#include <apricotstile/daemon/internal/local_upstream.hpp>
#include <apricotstile/request/ticket.hpp>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;
using internal::local_upstream;
using request::outcome;
using request::refusal;

constexpr duration refusal_pause = 100ms;
constexpr std::uint16_t status_no_content = 204;

} // namespace

void dispatch_duty::issue_ticket(
    const incoming_work& work,
    const local_upstream& upstream,
    const assignment::dispatch_decision& decision
) {
    const auto ticket = request::issue_ticket(
        upstream.dispatcher.memory,
        {work.request.service, decision.range.slice},
        decision.token,
        boot_clock::now()
    );
    if (!ticket) {
        this->refuse(work, refusal::not_owner);
        return;
    }
    request::routed_response response;
    response.id = work.request.id;
    response.outcome = outcome::answered;
    response.status = status_no_content;
    response.ticket = to_text(*ticket);
    this->answer(work.origin, std::move(response));
}

void dispatch_duty::respond(const upstream::respond& what) {
    const auto found = this->works.find(what.id);
    if (found == this->works.end()) {
        return;
    }
    const request_origin origin = found->second.origin;
    this->work_of.erase({origin.connection, what.response.id});
    this->works.erase(found);
    request::routed_response response = what.response;
    this->answer(origin, std::move(response));
}

void dispatch_duty::answer(
    const request_origin& origin, request::routed_response&& response
) {
    const auto view = this->wiring.state.view.load();
    response.responder_map =
        view->map == nullptr ? map_version{} : view->map->version;
    if (response.refusal != refusal::none) {
        ++this->refusals[std::string{to_string(response.refusal)}];
    }
    if (origin.connection == 0) {
        this->wiring.ingress.push(finished_request{
            view->self.host, std::move(response)});
    } else {
        this->wiring.links.push(outgoing_response{origin, std::move(response)});
    }
}

void dispatch_duty::refuse(const incoming_work& work, refusal reason) {
    request::routed_response response;
    response.id = work.request.id;
    response.outcome = outcome::not_run;
    response.refusal = reason;
    response.retry_after = refusal_pause;
    this->answer(work.origin, std::move(response));
}

} // namespace apricotstile::daemon

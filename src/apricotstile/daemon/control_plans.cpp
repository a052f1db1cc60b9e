// The control duty's part for the two lists: the plan controller's actions,
// this daemon's claims for shares and operators' questions.

#include <apricotstile/daemon/control_duty.hpp>

#include <apricotstile/assignment/owner_lookup.hpp>
#include <apricotstile/log/logger.hpp>

#include <thread>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;

constexpr duration shares_tick_interval = 100ms;
/// Lets members answer before a status is described.
constexpr auto status_patience = 300ms;
constexpr auto log_prefix = "plans";

} // namespace

void control_duty::apply_plan_event(const control::plan_event& what) {
    const instant now = boot_clock::now();
    control::take_ownership(
        this->plan_controller,
        control::self_ref(this->controller),
        this->controller.follower.map,
        control::lease_valid_until(this->controller),
        now
    );
    for (const control::plan_action& one :
         control::step(this->plan_controller, what, now, this->random)) {
        this->perform_plan_action(one);
    }
}

void control_duty::perform_plan_action(const control::plan_action& what) {
    const host_id self = host_at(this->wiring.settings.listen.peers);
    if (const auto* plan = std::get_if<control::send_plan>(&what)) {
        this->send(
            {self,
             plan->to,
             assignment::digest_of(this->controller.follower),
             plan->message}
        );
    } else if (const auto* share = std::get_if<control::send_share>(&what)) {
        const auto* grants = std::get_if<share::share_grants>(&share->message);
        if (share->to == self && grants != nullptr) {
            this->feed_shares(share::grants_received{*grants});
            return;
        }
        this->send(
            {self,
             share->to,
             assignment::digest_of(this->controller.follower),
             share->message}
        );
    } else if (std::holds_alternative<control::publish_book>(what)) {
        this->wiring.shares.set_book(this->plan_controller.book);
        log::write(
            log::level::info,
            log_prefix,
            "Lists in force.",
            {{"version",
              std::to_string(this->plan_controller.book->version.value)},
             {"customers",
              std::to_string(this->plan_controller.book->customers.size())}}
        );
    } else if (const auto* settled = std::get_if<control::apply_settled>(&what)) {
        this->wiring.on_apply(*settled);
    } else {
        std::visit(
            [this](const auto& call) {
                using type = std::decay_t<decltype(call)>;
                if constexpr (std::is_constructible_v<store_request, type>) {
                    this->wiring.store.push(store_request{call});
                }
            },
            what
        );
    }
}

void control_duty::feed_shares(const share::ingress_event& what) {
    const instant now = boot_clock::now();
    if (std::holds_alternative<share::ingress_tick>(what)) {
        if (now < this->shares_tick_at) {
            return;
        }
        this->shares_tick_at = now + shares_tick_interval;
    }
    const share::owner_lookup owner_of = [this](const customer_id& customer) {
        const auto found = assignment::find_owner(
            this->controller.follower.map,
            control::customers_service,
            customer.value
        );
        return found ? found->assignment.owner.host : host_id{};
    };
    const host_id self = host_at(this->wiring.settings.listen.peers);
    for (const share::ingress_action& one :
         this->wiring.shares.step(what, owner_of, now)) {
        if (const auto* changed = std::get_if<share::share_changed>(&one)) {
            this->wiring.ingress.push(share_came{changed->customer});
            continue;
        }
        const auto& claims = std::get<share::send_claims>(one);
        if (claims.to == self) {
            this->apply_plan_event(control::share_message_received{
                self, claims.claims});
        } else {
            this->send(
                {self,
                 claims.to,
                 assignment::digest_of(this->controller.follower),
                 share::share_message{claims.claims}}
            );
        }
    }
}

void control_duty::send_running_members() {
    control::running_members_changed members;
    for (const member::member_record& one :
         control::member_records(this->controller)) {
        if (one.state == member::member_state::active ||
            one.state == member::member_state::draining) {
            members.hosts.push_back(one.self.host);
        }
    }
    this->apply_plan_event(members);
}

plan::plan_status control_duty::plan_status() {
    this->run([this] {
        this->apply_plan_event(control::status_ordered{});
    });
    std::this_thread::sleep_for(status_patience);
    plan::plan_status status;
    this->run([&] {
        status = plan::describe_status(this->plan_controller.follower);
    });
    return status;
}

} // namespace apricotstile::daemon

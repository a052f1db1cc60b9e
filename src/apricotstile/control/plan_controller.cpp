// Routes events and actions between the follower, the applies and the lender.

#include <apricotstile/control/plan_controller.hpp>

#include <apricotstile/core/hashing.hpp>

#include <chrono>

namespace apricotstile::control {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 100ms;

/// The state of one call of `step`.
class plan_controller_step {
public:
    plan_controller_step(
        plan_controller& state,
        instant at,
        random_source& source,
        plan_actions& out
    )
        : state(state), now(at), random(source), actions(out) {}

    void handle(const plan_tick& what);
    void handle(const running_members_changed& what);
    void handle(const plan_message_received& what);
    void handle(const share_message_received& what);
    void handle(const apply_ordered& what);
    void handle(const status_ordered& what);
    template <class Result>
    void handle(const Result& result);

private:
    void to_follower(const plan::follower_event& what);
    void to_apply(std::uint64_t apply_number, const plan::apply_event& what);
    void to_lender(const share::lender_event& what);
    void adopt_version();
    template <class Call>
    void submit_call(std::uint64_t apply_number, Call call);

    plan_controller& state;
    instant now;
    random_source& random;
    plan_actions& actions;
};

template <class Call>
void plan_controller_step::submit_call(std::uint64_t apply_number, Call call) {
    this->state.last_operation = next(this->state.last_operation);
    this->state.operations[this->state.last_operation] = {
        apply_number, call.id};
    call.id = this->state.last_operation;
    this->actions.emplace_back(std::move(call));
}

void plan_controller_step::adopt_version() {
    const plan::held_version* const held = plan::in_force(this->state.follower);
    if (held == nullptr) {
        return;
    }
    this->state.book = std::make_shared<const plan::plan_book>(
        plan::compile(held->record.version, held->lists)
    );
    this->actions.emplace_back(publish_book{});
    this->to_lender(share::lender_tick{});
}

void plan_controller_step::to_follower(const plan::follower_event& what) {
    for (const plan::follower_action& one :
         plan::step(this->state.follower, what, this->now, this->random)) {
        if (const auto* sent = std::get_if<plan::send_plan_message>(&one)) {
            this->actions.emplace_back(send_plan{sent->to, sent->message});
        } else if (std::holds_alternative<plan::version_in_force>(one)) {
            this->adopt_version();
        } else if (const auto* read = std::get_if<platform::read_rows>(&one)) {
            this->submit_call(0, *read);
        } else if (const auto* get = std::get_if<platform::get_object>(&one)) {
            this->submit_call(0, *get);
        }
    }
}

void plan_controller_step::to_apply(
    std::uint64_t apply_number, const plan::apply_event& what
) {
    const auto found = this->state.applies.find(apply_number);
    if (found == this->state.applies.end()) {
        return;
    }
    for (const plan::apply_action& one :
         plan::step(found->second, what, this->now)) {
        if (const auto* report = std::get_if<plan::apply_report>(&one)) {
            this->actions.emplace_back(apply_settled{apply_number, *report});
            const bool applied = report->status == plan::apply_status::applied;
            const plan::apply_request request = found->second.request;
            this->state.applies.erase(found);
            if (applied) {
                this->to_follower(plan::version_applied{
                    {report->version, request.id, request.lists}});
            }
            return;
        }
        std::visit(
            [&](const auto& call) {
                using type = std::decay_t<decltype(call)>;
                if constexpr (!std::is_same_v<type, plan::apply_report>) {
                    this->submit_call(apply_number, call);
                }
            },
            one
        );
    }
}

void plan_controller_step::to_lender(const share::lender_event& what) {
    if (this->state.book == nullptr) {
        return;
    }
    const share::ownership_lookup ownership_of =
        [this](const customer_id& customer
        ) -> std::optional<share::customer_ownership> {
        const auto found =
            this->state.owned.find(slice_of(customer.value, customers_slices));
        if (found == this->state.owned.end()) {
            return std::nullopt;
        }
        return share::customer_ownership{
            found->second.token, found->second.since, this->state.lease_until};
    };
    for (const share::send_grants& one : share::step(
             this->state.lender,
             what,
             {*this->state.book, ownership_of},
             this->now
         )) {
        this->actions.emplace_back(send_share{one.to, one.grants});
    }
}

void plan_controller_step::handle(const plan_tick& /*what*/) {
    if (this->now < this->state.next_tick) {
        return;
    }
    this->state.next_tick = this->now + tick_interval;
    if (!this->state.started) {
        this->state.started = true;
        this->to_follower(plan::follower_started{});
    }
    this->to_follower(plan::follower_tick{});
    std::vector<std::uint64_t> apply_numbers;
    for (const auto& [apply_number, state] : this->state.applies) {
        apply_numbers.push_back(apply_number);
    }
    for (const std::uint64_t apply_number : apply_numbers) {
        this->to_apply(apply_number, plan::apply_tick{});
    }
    this->to_lender(share::lender_tick{});
}

void plan_controller_step::handle(const running_members_changed& what) {
    this->to_follower(plan::plan_members_changed{what.hosts});
}

void plan_controller_step::handle(const plan_message_received& what) {
    this->to_follower(plan::plan_message_received{what.from, what.message});
}

void plan_controller_step::handle(const share_message_received& what) {
    if (const auto* claims = std::get_if<share::share_claims>(&what.message)) {
        this->to_lender(share::claims_received{what.from, *claims});
    } else if (const auto* handover = std::get_if<share::share_handover>(&what.message)) {
        this->to_lender(share::handover_received{*handover});
    }
}

void plan_controller_step::handle(const apply_ordered& what) {
    this->state.applies.try_emplace(what.order);
    this->to_apply(what.order, what.request);
}

void plan_controller_step::handle(const status_ordered& /*what*/) {
    this->to_follower(plan::status_requested{});
}

template <class Result>
void plan_controller_step::handle(const Result& result) {
    const auto found = this->state.operations.find(result.id);
    if (found == this->state.operations.end()) {
        return;
    }
    const pending_plan_operation pending = found->second;
    this->state.operations.erase(found);
    Result own = result;
    own.id = pending.id;
    constexpr bool follower_takes_it =
        std::is_same_v<Result, platform::rows_read> ||
        std::is_same_v<Result, platform::object_got>;
    if (pending.apply_number != 0) {
        this->to_apply(pending.apply_number, own);
    } else if constexpr (follower_takes_it) {
        this->to_follower(own);
    }
}

} // namespace

plan_controller make_plan_controller(host_id self) {
    plan_controller state;
    state.follower.self = self;
    state.lender.slice_count = customers_slices;
    return state;
}

void take_ownership(
    plan_controller& state,
    const member::member_ref& self,
    const assignment::assignment_map& map,
    instant lease_until,
    instant now
) {
    state.lease_until = lease_until;
    const bool same =
        state.self == self && state.seen_map_version == map.version;
    if (same) {
        return;
    }
    state.self = self;
    state.seen_map_version = map.version;
    std::map<slice_id, customer_slice> owned;
    const auto found = map.services.find(customers_service);
    if (found != map.services.end()) {
        const auto& slices = found->second.slices;
        for (std::uint32_t index = 0; index < slices.size(); ++index) {
            if (slices[index].owner != self) {
                continue;
            }
            const auto before = state.owned.find({index});
            const bool kept = before != state.owned.end() &&
                              before->second.token == slices[index].token;
            owned[{index}] = kept ? before->second
                                  : customer_slice{slices[index].token, now};
        }
    }
    state.owned = std::move(owned);
}

plan_actions step(
    plan_controller& state,
    const plan_event& what,
    instant now,
    random_source& random
) {
    plan_actions actions;
    plan_controller_step current{state, now, random, actions};
    std::visit(
        [&](const auto& one) {
            current.handle(one);
        },
        what
    );
    return actions;
}

bool is_plan_operation(platform::operation_id id) {
    return id > first_plan_operation;
}

} // namespace apricotstile::control

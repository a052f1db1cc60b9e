// Load balancing: moves keys to members with more free capacity.

#include <apricotstile/router/local_key_manager.hpp>

#include <algorithm>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

/// How long to wait for the replies to a capacity request.
constexpr duration offer_timeout = 80ms;

/// If no single range has about the load to be moved, up to this many smaller
/// ranges are released instead. Each failed search halves the load that the
/// next one looks for.
constexpr int max_halvings = 3;

/// Frames have slots as integers, in thousandths.
constexpr double slots_per_millislot = 0.001;

/// Minimum time between two decisions to move keys.
constexpr duration move_interval = 2s;

/// Weight of the newest sample in the moving average of the work.
constexpr double work_smoothing = 0.3;

} // namespace

/// The instance's load, with the averaged work and the demand of the keys that
/// this daemon keeps.
keys::instance_load local_key_manager::current_load() const {
    keys::instance_load result = this->dependencies.load();
    result.outstanding_requests = this->mean_work;
    result.owned_key_load = keys::kept_load(this->key_owner, this->load);
    return result;
}

/// Moves keys away, for the first of these reasons that applies: the instance
/// fails, a new member has too few keys, the instance is overloaded, or another
/// instance is much faster.
void local_key_manager::balance() {
    keys::decay_load(this->load);
    this->mean_work +=
        work_smoothing *
        (this->dependencies.load().outstanding_requests - this->mean_work);
    const instant now = boot_clock::now();
    if (this->departing || !this->key_owner.instance ||
        !keys::has_lease(this->key_owner, now) ||
        now < this->last_move_at + move_interval) {
        return;
    }
    const keys::membership_view view = this->dependencies.view();
    // If this daemon may not own keys, `advance` moves all of them.
    if (!keys::may_own_keys(view, this->key_owner.self) ||
        this->release_if_failing(view)) {
        return;
    }
    if (const auto next = keys::plan_newcomer_move(
            this->key_owner, this->takeover_policy, view
        )) {
        this->last_move_at = now;
        this->release({*next}, "newcomer");
        return;
    }
    const keys::instance_load current = this->current_load();
    const double wanted = keys::excess_load(this->rebalancing_policy, current);
    if (wanted > 0) {
        std::vector<host_id> members;
        for (const keys::key_member& one : view.members) {
            if (one.host != this->key_owner.self && one.may_own && !one.cold) {
                members.push_back(one.host);
            }
        }
        std::shuffle(members.begin(), members.end(), this->random);
        members.resize(
            std::min(members.size(), this->rebalancing_policy.max_members_asked)
        );
        this->request_capacity(wanted, members);
        return;
    }
    // A cold instance is slow only for a while.
    const auto faster_member =
        current.cold ? std::nullopt
                     : keys::find_much_faster_member(
                           this->key_owner, this->takeover_policy, view
                       );
    if (faster_member) {
        this->request_capacity(
            current.owned_key_load * this->takeover_policy.slow_move_share,
            {*faster_member}
        );
    }
}

/// Releases all keys while the instance fails many of its requests and most
/// others don't. The load is sent to the other members at once, as they would
/// otherwise move keys back here. Returns whether the instance is failing.
bool local_key_manager::release_if_failing(const keys::membership_view& view) {
    const bool fails =
        keys::is_failure_outlier(this->key_owner, this->takeover_policy, view);
    if (fails != this->failing) {
        this->failing = fails;
        this->dependencies.broadcast_load();
    }
    if (!fails || keys::kept_ranges(this->key_owner).empty()) {
        return fails;
    }
    this->last_move_at = boot_clock::now();
    this->release(
        keys::plan_departure(this->key_owner, view), "instance fails requests"
    );
    return true;
}

void local_key_manager::request_capacity(
    double wanted, const std::vector<host_id>& members
) {
    this->last_move_at = boot_clock::now();
    this->requested_slots = wanted;
    this->offers.clear();
    const peer::capacity_request request{
        ++this->last_capacity_request,
        static_cast<std::uint64_t>(wanted / slots_per_millislot)};
    for (const host_id member : members) {
        this->dependencies.send(member, request);
    }
    this->timers.after(offer_timeout, [this] {
        this->accept_offers();
    });
}

void local_key_manager::handle_offer(
    host_id member, const peer::capacity_reply& offer
) {
    if (offer.sequence == this->last_capacity_request) {
        this->offers.push_back(
            {member,
             static_cast<double>(offer.offered_millislots) *
                 slots_per_millislot,
             offer.mean_service_time}
        );
    }
}

/// Releases keys to the members that have offered capacity, and sends each of
/// them the part of its offer that is used.
void local_key_manager::accept_offers() {
    std::map<host_id, double> claimed_slots;
    for (const keys::capacity_offer& one : this->offers) {
        claimed_slots[one.member] = 0;
    }
    if (!this->departing) {
        for (const keys::load_share& part : keys::divide_load(
                 this->rebalancing_policy,
                 this->current_load(),
                 this->requested_slots,
                 this->offers
             )) {
            if (this->release_to_member(part) > 0) {
                claimed_slots[part.member] = part.member_slots;
            }
        }
    }
    for (const auto& [member, taken] : claimed_slots) {
        this->dependencies.send(
            member,
            peer::capacity_claim{
                this->last_capacity_request,
                static_cast<std::uint64_t>(taken / slots_per_millislot)}
        );
    }
    this->offers.clear();
}

/// Releases ranges with about the load of `part` in total; returns how many. A
/// hot key whose load alone exceeds the part isn't moved; smaller ranges beside
/// it are released instead.
std::size_t local_key_manager::release_to_member(const keys::load_share& part) {
    std::size_t given = 0;
    double slots = part.owner_slots;
    for (int halvings = 0; halvings <= max_halvings; ++halvings) {
        const auto keys =
            keys::find_keys_to_move(this->key_owner, this->load, slots);
        if (!keys) {
            slots /= 2;
            continue;
        }
        this->release({{*keys, part.member}}, "load");
        ++given;
        if (halvings == 0) {
            break;
        }
    }
    return given;
}

peer::capacity_reply local_key_manager::reserve_capacity(
    host_id owner, const peer::capacity_request& request
) {
    const keys::instance_load current = this->current_load();
    const bool can_hold =
        !this->departing && !this->failing && this->key_owner.instance &&
        keys::has_lease(this->key_owner, boot_clock::now()) &&
        keys::may_own_keys(this->dependencies.view(), this->key_owner.self);
    const double offered =
        can_hold ? keys::reserve_capacity(
                       this->reserved_capacity,
                       this->rebalancing_policy,
                       current,
                       {owner, request.sequence},
                       static_cast<double>(request.wanted_millislots) *
                           slots_per_millislot,
                       boot_clock::now()
                   )
                 : 0;
    return {
        request.sequence,
        static_cast<std::uint64_t>(offered / slots_per_millislot),
        current.mean_service_time};
}

void local_key_manager::handle_capacity_claim(
    host_id owner, const peer::capacity_claim& claim
) {
    keys::claim_capacity(
        this->reserved_capacity,
        this->rebalancing_policy,
        {owner, claim.sequence},
        static_cast<double>(claim.claimed_millislots) * slots_per_millislot,
        boot_clock::now()
    );
}

} // namespace apricotstile::router

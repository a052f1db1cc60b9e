// Transactions on the rows of leases and keys, and the release of keys to other
// members.

#include <apricotstile/router/local_key_manager.hpp>

#include <apricotstile/peer/log_format.hpp>

#include <apricotstile/core/codec.hpp>
#include <apricotstile/log/logger.hpp>
#include <apricotstile/sidecar/key_call_sender.hpp>

#include <algorithm>
#include <utility>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 200ms;
constexpr duration balance_interval = keys::decay_interval;
/// Minimum time between two reads of the map that are caused by requests for
/// keys of other owners.
constexpr duration misrouted_read_interval = 3s;
constexpr duration revocation_interval = 250ms;
/// How long to wait for missing map changes, which may arrive out of order,
/// before the map is read.
constexpr duration missing_change_timeout = 300ms;
constexpr duration failed_call_backoff = 200ms;
constexpr duration max_failed_call_backoff = 1s;
/// Doubles with each conflict in a row: the more owners contend for the map,
/// the farther apart they try again.
constexpr duration conflict_backoff = 30ms;
constexpr duration max_conflict_backoff = 500ms;
constexpr auto log_prefix = "keys";

keys::current_instances instances_of(const keys::membership_view& view) {
    keys::current_instances result;
    for (const keys::key_member& one : view.members) {
        result.emplace(one.host, one.instance);
    }
    return result;
}

} // namespace

local_key_manager::local_key_manager(
    keys::key_owner key_owner,
    platform::shared_table& table,
    net::timer_queue& timers,
    dependency_functions dependencies,
    std::unique_ptr<sidecar::key_call_sender> calls
)
    : key_owner(std::move(key_owner)), table(table), timers(timers),
      dependencies(std::move(dependencies)), calls(std::move(calls)),
      random(this->key_owner.run.value) {
    this->timers.every(this->key_owner.policy.lease.promise_interval, [this] {
        this->request_promises();
    });
    this->timers.every(revocation_interval, [this] {
        this->request_revocations();
    });
    this->timers.every(tick_interval, [this] {
        this->advance();
    });
    this->timers.every(balance_interval, [this] {
        this->balance();
    });
    this->timers.after(0ms, [this] {
        this->request_promises();
    });
    if (this->key_owner.needs_read) {
        this->read_rows();
    }
}

local_key_manager::~local_key_manager() = default;

void local_key_manager::set_takeover_policy(const keys::takeover_policy& policy
) {
    this->takeover_policy = policy;
}

bool local_key_manager::grants_by_heartbeat() const {
    return this->key_owner.policy.method == routing::grant_method::heartbeat;
}

keys::heartbeat_answer
local_key_manager::handle_heartbeat(const keys::heartbeat& beat) {
    const instant now = boot_clock::now();
    const bool is_new_instance = this->key_owner.instance != beat.instance;
    const bool had_lease = keys::has_lease(this->key_owner, now);
    if (is_new_instance && beat.state == directory::instance_state::ready) {
        this->departing = false;
    }
    keys::heartbeat_answer answer =
        keys::handle_heartbeat(this->key_owner, beat, now);
    if (!had_lease && keys::has_lease(this->key_owner, now)) {
        log::write(log::level::info, log_prefix, "Lease acquired.");
    }
    if (this->calls) {
        this->handle_heartbeat_for_calls(is_new_instance);
    }
    if (is_new_instance) {
        this->request_promises();
    }
    this->advance();
    return answer;
}

void local_key_manager::release_all_keys() {
    if (this->departing) {
        return;
    }
    this->departing = true;
    this->release(
        keys::plan_departure(this->key_owner, this->dependencies.view()),
        "instance leaves"
    );
}

void local_key_manager::keep_remaining_keys() {
    if (!std::exchange(this->departing, false)) {
        return;
    }
    const std::size_t kept = keys::cancel_releases(this->key_owner);
    log::write(
        log::level::info,
        log_prefix,
        "No longer releasing all keys.",
        {{"kept_ranges", std::to_string(kept)},
         {"moving_ranges", std::to_string(this->key_owner.releases.size())}}
    );
    this->advance();
}

void local_key_manager::handle_instance_stopped() {
    this->release_all_keys();
    keys::handle_instance_stopped(this->key_owner);
    this->advance();
}

bool local_key_manager::may_dispatch(keys::key_number key) const {
    return keys::may_dispatch(this->key_owner, key, boot_clock::now());
}

void local_key_manager::add_request_work(keys::key_number key, duration work) {
    keys::add_key_work(this->load, key, work);
    const keys::owned_range* const owner =
        keys::find_owned_range(this->key_owner.map, key);
    const bool is_own =
        owner != nullptr && owner->owner == this->key_owner.self;
    // The sender may have routed the request by a newer map.
    if (!is_own && !this->key_owner.needs_read && !this->key_owner.in_flight &&
        boot_clock::now() - this->last_read_at > misrouted_read_interval) {
        this->key_owner.needs_read = true;
        this->advance();
    }
}

void local_key_manager::apply_map_change(const keys::key_map_change& change) {
    if (keys::apply_map_change(this->key_owner, change) ==
        keys::change_result::gap) {
        this->timers.after(
            missing_change_timeout,
            [this, needed = change.from_version] {
                if (this->key_owner.map_version < needed) {
                    this->key_owner.needs_read = true;
                    this->advance();
                }
            }
        );
    }
    this->advance();
}

void local_key_manager::begin_era(
    platform::table_era era, bool is_first_start, duration delay
) {
    this->next_era = {era, is_first_start};
    this->retry_at = boot_clock::now() + delay;
    this->begin_pending_era();
}

void local_key_manager::begin_pending_era() {
    if (!this->next_era || this->key_owner.in_flight) {
        return;
    }
    keys::begin_era(
        this->key_owner,
        this->next_era->era,
        this->next_era->is_first_start,
        boot_clock::now()
    );
    this->next_era.reset();
    log::write(
        log::level::warning,
        log_prefix,
        "New era of the key rows.",
        {{"era", std::to_string(this->key_owner.era.value)},
         {"claimed_ranges", std::to_string(this->key_owner.claims.size())},
         {"has_lease", this->key_owner.uses_earlier_lease ? "yes" : "no"}}
    );
}

const keys::key_owner& local_key_manager::owner_state() const {
    return this->key_owner;
}

/// Starts what is due: reads, transactions and calls to the instance.
void local_key_manager::advance() {
    this->advance_table();
    this->advance_calls();
}

/// Starts the next read or transaction that is due, unless one is in progress.
void local_key_manager::advance_table() {
    const instant now = boot_clock::now();
    if (this->key_owner.needs_read) {
        if (now >= this->retry_at) {
            this->read_rows();
        }
        return;
    }
    if (this->key_owner.in_flight || now < this->retry_at) {
        return;
    }
    this->poll_leases();
    const keys::membership_view view = this->dependencies.view();
    // There may have been no other member to take the keys when the departure
    // started.
    const bool may_own = keys::may_own_keys(view, this->key_owner.self);
    if ((this->departing || !may_own) && this->key_owner.releases.empty()) {
        this->release(
            keys::plan_departure(this->key_owner, view),
            this->departing ? "instance leaves" : "region not allowed"
        );
    }
    keys::retarget_releases(this->key_owner, view);
    keys::ownership_changes wanted =
        keys::plan_takeover(this->key_owner, this->takeover_policy, view, now);
    wanted.relayed = this->due_relayed_releases();
    const auto transaction = keys::start_next_transaction(
        this->key_owner, wanted, instances_of(view), now
    );
    if (!transaction) {
        return;
    }
    this->note_relayed_in_flight(wanted.relayed.size());
    for (const host_id host : wanted.revoked_owners) {
        log::write(
            log::level::warning,
            log_prefix,
            "Lease of owner has expired; transferring its keys.",
            {{"owner", peer::format_for_log(host)}}
        );
    }
    const auto member = this->relaying_member(view);
    const auto release =
        member ? keys::take_relayable_release(this->key_owner, *transaction)
               : std::nullopt;
    if (release) {
        this->send_release_request(*member, *release);
    } else {
        this->submit(*transaction);
    }
}

void local_key_manager::submit(const platform::transaction& transaction) {
    this->table.submit(
        transaction,
        [this](const platform::commit_result& result) {
            this->handle_result(result);
        }
    );
}

void local_key_manager::handle_result(const platform::commit_result& result) {
    const bool had_lease = keys::has_lease(this->key_owner, boot_clock::now());
    const auto change =
        keys::handle_commit_result(this->key_owner, result, boot_clock::now());
    if (change) {
        this->dependencies.broadcast(peer::map_change_frame{*change});
    }
    this->log_unreadable_rows();
    this->answer_relayed_releases(result, change);
    this->begin_pending_era();
    if (result.status != platform::commit_status::committed) {
        log::write(
            log::level::warning,
            log_prefix,
            "Transaction on lease and key rows was not committed.",
            {{"status", std::to_string(static_cast<int>(result.status))}}
        );
        this->back_off(result.status == platform::commit_status::conflict);
    } else {
        this->backoff = duration{0};
    }
    if (!had_lease && keys::has_lease(this->key_owner, boot_clock::now())) {
        log::write(log::level::info, log_prefix, "Lease acquired.");
    }
    this->advance();
}

/// Sets when to call the table again after a conflict or a failure. Random, so
/// that daemons don't all call at the same time.
void local_key_manager::back_off(bool is_conflict) {
    const duration first = is_conflict ? conflict_backoff : failed_call_backoff;
    const duration longest =
        is_conflict ? max_conflict_backoff : max_failed_call_backoff;
    this->backoff = std::clamp(this->backoff * 2, first, longest);
    const auto range = static_cast<std::uint64_t>(this->backoff.count());
    const duration delay{
        static_cast<duration::rep>(random_below(this->random, range))};
    this->retry_at =
        boot_clock::now() + (is_conflict ? delay : (this->backoff + delay) / 2);
    this->timers.at(this->retry_at, [this] {
        this->advance();
    });
}

void local_key_manager::release(
    const std::vector<keys::key_move>& moves, const char* why
) {
    for (const keys::key_move& one : moves) {
        log::write(
            log::level::info,
            log_prefix,
            "Releasing keys to another member.",
            {{"keys", peer::format_for_log(one.keys)},
             {"to", peer::format_for_log(one.target)},
             {"why", why}}
        );
        keys::start_release(this->key_owner, one.keys, one.target);
    }
}

} // namespace apricotstile::router

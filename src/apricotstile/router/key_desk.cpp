// Transactions, readings and moves of one daemon's keys.

#include <apricotstile/router/key_desk.hpp>

#include <apricotstile/core/codec.hpp>
#include <apricotstile/log/logger.hpp>

#include <algorithm>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 200ms;
constexpr duration balance_interval = keys::decay_interval;
/// For the replies of members that were asked for room.
constexpr duration offer_wait = 80ms;
/// Relief that isn't to be had in one piece is sought in this many steps, each
/// of half the load.
constexpr int most_halvings = 3;
constexpr double thousandth = 0.001;
/// Between readings of the others' leases.
constexpr duration watch_interval = 3s;
/// Between readings of a map that requests show to be old.
constexpr duration doubted_map_pause = 1s;
constexpr duration deposition_interval = 250ms;
/// An owner is to be deposed after this time without a way to it; later by
/// as much for each daemon that acts before this one.
constexpr duration deposition_delay = 400ms;
/// A guardian is replaced after this time without a way to it.
constexpr duration guardian_patience = 2s;
/// Requests for promises that may be answered at one time.
constexpr std::size_t max_asked = 16;
constexpr duration move_interval = 1s;
/// A change that was overtaken by a later one comes within this time.
constexpr duration change_patience = 300ms;
constexpr duration failed_call_pause = 200ms;
constexpr std::chrono::milliseconds longest_conflict_pause{40};
/// Daemons, by rank, that watch the others' leases.
constexpr std::size_t watching_ranks = 2;
constexpr double work_smoothing = 0.3;
constexpr auto log_prefix = "keys";

std::string text_of(const keys::key_range& range) {
    return std::to_string(range.first) + "-" + std::to_string(range.last);
}

std::string text_of(host_id host) {
    return to_string(peer_address(host));
}

std::string text_of(const keys::guardian_list& guardians) {
    std::string result;
    for (const keys::guardian_id& one : guardians) {
        result += (result.empty() ? "" : ",") + text_of(one.host);
    }
    return result;
}

keys::known_lives lives_of(const keys::takeover_view& view) {
    keys::known_lives result;
    for (const keys::member& one : view.members) {
        result.emplace(one.host, one.life);
    }
    return result;
}

} // namespace

key_desk::key_desk(
    keys::keeper keeper,
    platform::shared_table& table,
    net::timer_queue& timers,
    surroundings around
)
    : keeper(std::move(keeper)), table(table), timers(timers),
      around(std::move(around)), random(this->keeper.run.value) {
    this->timers.every(this->keeper.policy.lease.promise_interval, [this] {
        this->ask_promises();
    });
    this->timers.every(deposition_interval, [this] {
        this->ask_depositions();
    });
    this->timers.every(tick_interval, [this] {
        this->pump();
    });
    this->timers.every(balance_interval, [this] {
        this->balance();
    });
    this->timers.after(0ms, [this] {
        this->ask_promises();
    });
    this->read_rows();
}

keys::heartbeat_answer key_desk::take_heartbeat(const keys::heartbeat& beat) {
    const instant now = boot_clock::now();
    const bool new_life = this->keeper.life != beat.life;
    const bool had_lease = keys::has_lease(this->keeper, now);
    if (new_life) {
        this->departing = false;
    }
    keys::heartbeat_answer answer =
        keys::take_heartbeat(this->keeper, beat, now);
    if (!had_lease && keys::has_lease(this->keeper, now)) {
        log::write(log::level::info, log_prefix, "Lease acquired.");
    }
    if (new_life) {
        this->ask_promises();
    }
    this->pump();
    return answer;
}

void key_desk::start_departure() {
    if (this->departing) {
        return;
    }
    this->departing = true;
    this->release(
        keys::plan_departure(this->keeper, this->around.view()),
        "instance leaves"
    );
}

void key_desk::instance_left() {
    this->start_departure();
    keys::instance_left(this->keeper);
    this->pump();
}

bool key_desk::may_dispatch(keys::key_number key) const {
    return keys::may_dispatch(this->keeper, key, boot_clock::now());
}

void key_desk::count_request(keys::key_number key, duration work) {
    keys::count_key(this->load, key, work);
    const keys::owned_range* const owner =
        keys::find_owner(this->keeper.map, key);
    const bool is_own = owner != nullptr && owner->owner == this->keeper.self;
    // Whoever sent it may know a newer map.
    if (!is_own && !this->keeper.needs_read && !this->keeper.in_flight &&
        boot_clock::now() - this->last_read > doubted_map_pause) {
        this->keeper.needs_read = true;
        this->pump();
    }
}

void key_desk::take_change(const keys::map_change& change) {
    if (keys::take_change(this->keeper, change) == keys::change_result::gap) {
        this->timers.after(change_patience, [this, missing = change.from] {
            if (this->keeper.map_version < missing) {
                this->keeper.needs_read = true;
                this->pump();
            }
        });
    }
    this->pump();
}

const keys::keeper& key_desk::state() const {
    return this->keeper;
}

void key_desk::pump() {
    const instant now = boot_clock::now();
    if (this->keeper.needs_read) {
        if (now >= this->retry_at) {
            this->read_rows();
        }
        return;
    }
    if (this->keeper.in_flight || now < this->retry_at) {
        return;
    }
    this->watch();
    const keys::takeover_view view = this->around.view();
    // A departure waits until somebody can take the keys.
    if (this->departing && this->keeper.releases.empty()) {
        this->release(
            keys::plan_departure(this->keeper, view), "instance leaves"
        );
    }
    keys::retarget_releases(this->keeper, view);
    const keys::wanted_changes wanted =
        keys::plan_takeover(this->keeper, this->policy, view, now);
    const auto work =
        keys::next_transaction(this->keeper, wanted, lives_of(view), now);
    if (!work) {
        return;
    }
    for (const host_id host : wanted.voided) {
        log::write(
            log::level::warning,
            log_prefix,
            "Owner's lease has run out; its keys go to others.",
            {{"owner", text_of(host)}}
        );
    }
    this->submit(*work);
}

void key_desk::submit(const platform::transaction& work) {
    this->table.submit(work, [this](const platform::commit_result& result) {
        const bool had_lease = keys::has_lease(this->keeper, boot_clock::now());
        const auto change =
            keys::take_result(this->keeper, result, boot_clock::now());
        if (change) {
            this->around.tell_all(map_change_frame{*change});
        }
        if (result.status != platform::commit_status::committed) {
            log::write(
                log::level::warning,
                log_prefix,
                "Change of leases or owners was not committed.",
                {{"status", std::to_string(static_cast<int>(result.status))}}
            );
            this->retry_at = boot_clock::now() +
                             (result.status == platform::commit_status::conflict
                                  ? this->conflict_pause()
                                  : failed_call_pause);
            this->timers.at(this->retry_at, [this] {
                this->pump();
            });
        }
        if (!had_lease && keys::has_lease(this->keeper, boot_clock::now())) {
            log::write(log::level::info, log_prefix, "Lease acquired.");
        }
        this->pump();
    });
}

/// Owners that change the map at one time take turns by chance.
duration key_desk::conflict_pause() {
    return std::chrono::milliseconds{
        random_below(this->random, longest_conflict_pause.count())};
}

void key_desk::read_rows() {
    if (this->reading) {
        return;
    }
    this->reading = true;
    // Leases first: a lease seen later than the map can only be younger.
    this->last_read = boot_clock::now();
    const std::string& service = this->keeper.service.value;
    this->table.read(
        "leases/" + service,
        [this, service](const platform::read_result& leases) {
            if (!leases.answered) {
                this->reading = false;
                this->retry_at = boot_clock::now() + failed_call_pause;
                return;
            }
            this->table.read(
                "keys/" + service,
                [this, rows = leases.rows](const platform::read_result& maps) {
                    this->reading = false;
                    if (!maps.answered) {
                        this->retry_at = boot_clock::now() + failed_call_pause;
                        return;
                    }
                    std::vector<platform::row> all = rows;
                    all.insert(all.end(), maps.rows.begin(), maps.rows.end());
                    try {
                        keys::take_rows(this->keeper, all, boot_clock::now());
                    } catch (const decode_error& error) {
                        log::write(
                            log::level::error,
                            log_prefix,
                            "Rows of leases or owners are malformed.",
                            {{"reason", error.what()}}
                        );
                    }
                    this->pump();
                }
            );
        }
    );
}

/// Reads the others' leases now and then where this daemon is among the first
/// that would take over.
void key_desk::watch() {
    if (this->reading || boot_clock::now() < this->last_read + watch_interval) {
        return;
    }
    if (this->around.view().rank < watching_ranks) {
        this->read_leases();
    }
}

void key_desk::read_leases() {
    this->last_read = boot_clock::now();
    this->reading = true;
    this->table.read(
        "leases/" + this->keeper.service.value,
        [this](const platform::read_result& leases) {
            this->reading = false;
            if (!leases.answered || !this->keeper.rows_known ||
                this->keeper.in_flight || this->keeper.needs_read) {
                return;
            }
            try {
                keys::take_rows(this->keeper, leases.rows, boot_clock::now());
            } catch (const decode_error& error) {
                log::write(
                    log::level::error,
                    log_prefix,
                    "Rows of leases are malformed.",
                    {{"reason", error.what()}}
                );
            }
        }
    );
}

/// Keeps guardians that are reached, and fills up with the best of the rest.
void key_desk::choose_guardians() {
    const instant now = boot_clock::now();
    const keys::guardian_list candidates = this->around.guardian_candidates();
    const auto has_another_run = [&](const keys::guardian_id& wanted) {
        return std::any_of(
            candidates.begin(),
            candidates.end(),
            [&](const keys::guardian_id& one) {
                return one.host == wanted.host && one.run != wanted.run;
            }
        );
    };
    keys::guardian_list chosen;
    for (const keys::guardian_id& one : this->keeper.wanted_guardians) {
        const bool is_reached =
            std::find(candidates.begin(), candidates.end(), one) !=
            candidates.end();
        if (is_reached) {
            this->unreached.erase(one.host);
        } else {
            this->unreached.try_emplace(one.host, now);
        }
        const bool is_kept =
            is_reached || (!has_another_run(one) &&
                           now - this->unreached[one.host] < guardian_patience);
        if (is_kept) {
            chosen.push_back(one);
        }
    }
    for (const keys::guardian_id& one : candidates) {
        if (chosen.size() >= this->keeper.policy.lease.guardians) {
            break;
        }
        if (std::find(chosen.begin(), chosen.end(), one) == chosen.end()) {
            chosen.push_back(one);
        }
    }
    this->keeper.wanted_guardians = std::move(chosen);
}

void key_desk::ask_promises() {
    if (!this->keeper.life) {
        return;
    }
    this->choose_guardians();
    this->asked.emplace(++this->last_asked, boot_clock::now());
    if (this->asked.size() > max_asked) {
        this->asked.erase(this->asked.begin());
    }
    for (const keys::guardian_id& one : keys::all_guardians(this->keeper)) {
        this->around.tell(
            one.host,
            promise_request{
                this->keeper.lease_version, one.run, this->last_asked}
        );
    }
    this->pump();
}

/// Asks the guardians of owners that aren't reached to let them go.
void key_desk::ask_depositions() {
    const keys::takeover_view view = this->around.view();
    const instant now = boot_clock::now();
    const duration delay =
        deposition_delay * static_cast<duration::rep>(view.rank + 1);
    for (auto& [host, lease] : this->keeper.watched) {
        if (host == this->keeper.self ||
            keys::keys_of(this->keeper.map, host) == 0 ||
            this->around.is_there(host)) {
            this->unreached.erase(host);
            continue;
        }
        const auto [unreached, is_new] = this->unreached.try_emplace(host, now);
        const instant since = unreached->second;
        if (is_new) {
            log::write(
                log::level::warning,
                log_prefix,
                "Owner isn't reached; its guardians are asked to end its "
                "lease.",
                {{"owner", text_of(host)},
                 {"lease", std::to_string(lease.version.value)},
                 {"guardians", text_of(lease.guardians)}}
            );
        }
        if (now - since < delay) {
            continue;
        }
        if (!this->reading && now - this->last_read > deposition_delay) {
            this->read_leases();
        }
        for (const keys::guardian_id& guardian : lease.guardians) {
            if (guardian.host == this->keeper.self) {
                if (this->around.agree_to_depose(host, lease.version)) {
                    keys::take_agreement(
                        this->keeper, guardian.host, host, lease.version
                    );
                }
                continue;
            }
            this->around.tell(
                guardian.host, deposition_request{host, lease.version}
            );
        }
    }
}

void key_desk::take_reply(host_id peer, const frame& reply) {
    if (const auto* const promised = std::get_if<promise_reply>(&reply)) {
        const auto sent = this->asked.find(promised->sequence);
        if (sent == this->asked.end()) {
            return;
        }
        switch (promised->result) {
        case keys::promise_result::promised:
            keys::take_promise(
                this->keeper, {peer, promised->guardian_run}, sent->second
            );
            break;
        case keys::promise_result::given_up:
            keys::take_refusal(this->keeper);
            break;
        case keys::promise_result::another_run:
            // The directory tells of the new run, which is then wanted.
            break;
        }
        this->pump();
    } else if (const auto* const end = std::get_if<deposition_reply>(&reply)) {
        if (end->agreed) {
            keys::take_agreement(this->keeper, peer, end->holder, end->version);
            this->pump();
        }
    } else if (const auto* const room = std::get_if<room_reply>(&reply)) {
        if (room->sequence == this->last_room_request) {
            this->offers.push_back(
                {peer,
                 static_cast<double>(room->offered) * thousandth,
                 room->mean_service}
            );
        }
    }
}

/// What the keys that are kept bring, and what the instance has to do.
keys::key_service_load key_desk::present_load() const {
    keys::key_service_load result = this->around.load();
    result.work = this->mean_work;
    result.demand = keys::demand_of(this->keeper, this->load);
    return result;
}

void key_desk::balance() {
    keys::decay(this->load);
    this->mean_work +=
        work_smoothing * (this->around.load().work - this->mean_work);
    const instant now = boot_clock::now();
    if (this->departing || !this->keeper.life ||
        !keys::has_lease(this->keeper, now) ||
        now < this->last_move + move_interval) {
        return;
    }
    const keys::takeover_view view = this->around.view();
    if (const auto next = keys::plan_welcome(this->keeper, view)) {
        this->last_move = now;
        this->release({*next}, "newcomer");
        return;
    }
    const keys::key_service_load present = this->present_load();
    const double wanted = keys::wanted_relief(this->relief, present);
    if (wanted > 0) {
        std::vector<host_id> members;
        for (const keys::member& one : view.members) {
            if (one.host != this->keeper.self) {
                members.push_back(one.host);
            }
        }
        std::shuffle(members.begin(), members.end(), this->random);
        members.resize(std::min(members.size(), this->relief.asked));
        this->ask_for_room(wanted, std::move(members));
    } else if (const auto faster = keys::much_faster(this->keeper, this->policy, view)) {
        this->ask_for_room(present.demand * this->policy.slow_part, {*faster});
    }
}

void key_desk::ask_for_room(double wanted, std::vector<host_id> members) {
    this->last_move = boot_clock::now();
    this->wanted_room = wanted;
    this->offers.clear();
    const room_request asked{
        ++this->last_room_request,
        static_cast<std::uint64_t>(wanted / thousandth)};
    for (const host_id member : members) {
        this->around.tell(member, asked);
    }
    this->timers.after(offer_wait, [this] {
        this->take_offers();
    });
}

/// Gives keys to the members that have offered room, and tells each what is
/// taken of its offer.
void key_desk::take_offers() {
    std::map<host_id, double> claims;
    for (const keys::room_offer& one : this->offers) {
        claims[one.member] = 0;
    }
    if (!this->departing) {
        for (const keys::relief_part& part : keys::divide_relief(
                 this->relief,
                 this->present_load(),
                 this->wanted_room,
                 this->offers
             )) {
            if (this->give_keys(part) > 0) {
                claims[part.member] = part.taken;
            }
        }
    }
    for (const auto& [member, taken] : claims) {
        this->around.tell(
            member,
            room_claim{
                this->last_room_request,
                static_cast<std::uint64_t>(taken / thousandth)}
        );
    }
    this->offers.clear();
}

/// Returns how many ranges are given. A hot key that is worth more than `part`
/// stays; then smaller parts are sought beside it.
std::size_t key_desk::give_keys(const keys::relief_part& part) {
    std::size_t given = 0;
    double slots = part.given;
    for (int halvings = 0; halvings <= most_halvings; ++halvings) {
        const auto keys = keys::keys_worth(this->keeper, this->load, slots);
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

room_reply key_desk::offer_room(host_id owner, const room_request& asked) {
    const keys::key_service_load present = this->present_load();
    const bool can_hold = !this->departing && this->keeper.life &&
                          keys::has_lease(this->keeper, boot_clock::now());
    const double offered =
        can_hold ? keys::offer_room(
                       this->room,
                       this->relief,
                       present,
                       {owner, asked.sequence},
                       static_cast<double>(asked.wanted) * thousandth,
                       boot_clock::now()
                   )
                 : 0;
    return {
        asked.sequence,
        static_cast<std::uint64_t>(offered / thousandth),
        present.mean_service};
}

void key_desk::take_claim(host_id owner, const room_claim& claim) {
    keys::claim_room(
        this->room,
        this->relief,
        {owner, claim.sequence},
        static_cast<double>(claim.taken) * thousandth,
        boot_clock::now()
    );
}

void key_desk::release(const std::vector<keys::move>& moves, const char* why) {
    for (const keys::move& one : moves) {
        log::write(
            log::level::info,
            log_prefix,
            "Releasing keys.",
            {{"keys", text_of(one.keys)},
             {"to", text_of(one.target)},
             {"why", why}}
        );
        keys::start_release(this->keeper, one.keys, one.target);
    }
}

} // namespace apricotstile::router

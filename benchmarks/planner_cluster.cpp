// The fake cluster around the measured planner.

#include <benchmarks/planner_cluster.hpp>

#include <apricotstile/assignment/owner_lookup.hpp>
#include <apricotstile/assignment/set_owner.hpp>
#include <apricotstile/core/hashing.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>

namespace apricotstile::benchmarks {

namespace {

using namespace std::chrono_literals;
using namespace assignment;

constexpr duration tick = 100ms;
constexpr std::size_t ring_points = 100;
constexpr std::size_t hot_keys = 64;
constexpr std::size_t reported_keys = 11;
constexpr std::uint32_t slots = 16;
const service_id registry{"registry"};

double imbalance(const std::map<host_id, double>& loads, std::size_t members) {
    double sum = 0;
    double largest = 0;
    for (const auto& [host, load] : loads) {
        sum += load;
        largest = std::max(largest, load);
    }
    return largest * static_cast<double>(members) / sum;
}

} // namespace

hash_ring::hash_ring(const std::vector<host_id>& hosts) {
    for (const host_id host : hosts) {
        for (std::size_t i = 0; i < ring_points; ++i) {
            const auto name = fmt::format("{}/{}", host.value, i);
            this->points.emplace(stable_hash(name), host);
        }
    }
}

host_id hash_ring::owner_of(std::uint32_t slice) const {
    const auto hash = stable_hash(fmt::format("slice {}", slice));
    const auto found = this->points.lower_bound(hash);
    return found == this->points.end() ? this->points.begin()->second
                                       : found->second;
}

std::size_t
hash_ring::moved_to(const hash_ring& other, std::uint32_t slices) const {
    std::size_t moved = 0;
    for (std::uint32_t i = 0; i < slices; ++i) {
        moved += this->owner_of(i) != other.owner_of(i) ? 1 : 0;
    }
    return moved;
}

double hash_ring::slice_imbalance(std::uint32_t slices) const {
    std::map<host_id, double> loads;
    for (const auto& [point, host] : this->points) {
        loads[host] = 0;
    }
    for (std::uint32_t i = 0; i < slices; ++i) {
        loads[this->owner_of(i)] += 1;
    }
    return imbalance(loads, loads.size());
}

planner_cluster::planner_cluster(
    std::size_t members, std::size_t domains, std::uint32_t slices
) {
    for (std::size_t i = 0; i < members; ++i) {
        member::member_record record;
        record.self = {host_id{i + 1}, incarnation{1}};
        record.where.failure_domain.value =
            fmt::format("domain-{}", i % domains);
        member::served_service served;
        served.service = registry;
        served.slots = slots;
        served.slice_count = slices;
        record.services.push_back(served);
        this->records.emplace(record.self.host, record);
    }
    this->planner_state.self = {host_id{members}, incarnation{1}};
    this->tell_members();
}

void planner_cluster::tell_members() {
    planner_members_changed event;
    for (const auto& [host, record] : this->records) {
        event.records.push_back(record);
    }
    this->feed(event);
}

void planner_cluster::feed(const planner_event& first) {
    std::deque<planner_event> events{first};
    while (!events.empty()) {
        const auto start = std::chrono::steady_clock::now();
        const auto actions =
            step(this->planner_state, events.front(), this->now, this->random);
        const auto took = std::chrono::steady_clock::now() - start;
        this->longest_step = std::max(this->longest_step, took);
        events.pop_front();
        for (const planner_action& action : actions) {
            if (const auto* write =
                    std::get_if<platform::submit_transaction>(&action)) {
                const auto result = commit(this->table, write->work);
                events.emplace_back(platform::transaction_done{
                    write->id, result});
            } else if (const auto* read = std::get_if<platform::read_rows>(&action)) {
                const auto rows = read_prefix(this->table, read->prefix);
                events.emplace_back(platform::rows_read{read->id, rows});
            } else if (const auto* made = std::get_if<share_change>(&action)) {
                ++this->transactions;
                this->change_bytes += encode(made->change).size();
                for (const auto& service : made->change.services) {
                    for (const auto& one : service.slices) {
                        const bool planned =
                            one.assignment.next_owner != member::member_ref{};
                        this->moved += planned ? 0 : 1;
                    }
                }
            }
        }
    }
}

/// Every planned move is released; one change for all of them.
void planner_cluster::release_planned() {
    map_rows& rows = this->planner_state.reader.rows;
    map_change change;
    for (const auto& [range, move] : this->planner_state.moves.active) {
        const auto* found = find_range(rows, range);
        if (found != nullptr && found->next_owner == move.to) {
            set_owner(change, rows, range, move.to);
            ++this->moved;
        }
    }
    if (change.services.empty()) {
        return;
    }
    change.version = next(rows.head.version);
    static_cast<void>(commit(this->table, prepare_change(rows, change)));
    ++this->transactions;
    this->change_bytes += encode(change).size();
    map_digest digest;
    digest.version = change.version;
    this->feed(digest_seen{digest});
}

void planner_cluster::settle() {
    instant quiet_since = this->now;
    std::uint64_t seen = this->transactions;
    while (this->now - quiet_since < 1s ||
           this->planner_state.map.services.empty()) {
        this->now += tick;
        this->feed(planner_tick{});
        this->release_planned();
        if (this->transactions != seen) {
            seen = this->transactions;
            quiet_since = this->now;
        }
    }
}

void planner_cluster::report_load() {
    std::map<host_id, load_report> reports;
    const auto& map = this->planner_state.map;
    const auto& slices = map.services.at(registry).slices;
    const auto count = static_cast<std::uint32_t>(slices.size());
    for (const auto& [host, record] : this->records) {
        reports[host].from = record.self;
        reports[host].services = {{registry, {}, {}}};
    }
    std::vector<double> rates = this->slice_rates;
    for (const auto& [key, rate] : this->key_rates) {
        const auto owner = find_owner(map, registry, key);
        auto& report = reports[owner->assignment.owner.host];
        auto& keys = report.services[0].keys;
        if (keys.size() < reported_keys || !owner->range.key.empty()) {
            keys.push_back({key, static_cast<float>(rate)});
        }
        if (owner->range.key.empty()) {
            rates[owner->range.slice.value] += rate;
        }
    }
    for (std::uint32_t i = 0; i < count; ++i) {
        reports[slices[i].owner.host].services[0].slices.push_back(
            {slice_id{i}, static_cast<float>(rates[i])}
        );
    }
    for (const auto& [host, report] : reports) {
        this->feed(planner_event{report});
    }
}

duration planner_cluster::settle_load() {
    constexpr duration longest = 1h;
    const instant start = this->now;
    instant last_move = this->now;
    std::uint64_t seen = this->moved;
    while (this->now - last_move < 30s && this->now - start < longest) {
        this->report_load();
        for (int i = 0; i < 50; ++i) {
            this->now += tick;
            this->feed(planner_tick{});
            this->release_planned();
        }
        if (this->moved != seen) {
            seen = this->moved;
            last_move = this->now;
        }
    }
    return last_move - start;
}

void planner_cluster::reset_counts() {
    this->transactions = 0;
    this->moved = 0;
    this->change_bytes = 0;
    this->longest_step = {};
}

void planner_cluster::lose_first(std::size_t count) {
    std::size_t lost = 0;
    for (auto& [host, record] : this->records) {
        if (lost < count) {
            record.state = member::member_state::deposed;
            ++lost;
        }
    }
    this->tell_members();
}

void planner_cluster::bring_back() {
    for (auto& [host, record] : this->records) {
        if (record.state != member::member_state::active) {
            record.state = member::member_state::active;
            record.self.incarnation = next(record.self.incarnation);
        }
    }
    this->tell_members();
}

void planner_cluster::restart(std::size_t index) {
    auto& record =
        std::next(this->records.begin(), static_cast<std::ptrdiff_t>(index))
            ->second;
    record.state = member::member_state::draining;
    this->tell_members();
    if (record.self == this->planner_state.self) {
        // Its role passes to the first member.
        const member::member_ref self = this->records.begin()->second.self;
        planner fresh;
        fresh.self = self;
        this->planner_state = std::move(fresh);
        record.state = member::member_state::draining;
        this->tell_members();
    }
    this->settle();
    record.state = member::member_state::left;
    this->tell_members();
    this->settle();
    this->bring_back();
    this->now += 60s;
    this->settle();
}

void planner_cluster::set_zipf_load(
    std::size_t keys, double skew, double total
) {
    const auto count = static_cast<std::uint32_t>(
        this->planner_state.map.services.at(registry).slices.size()
    );
    this->slice_rates.assign(count, 0);
    double sum = 0;
    for (std::size_t i = 1; i <= keys; ++i) {
        sum += std::pow(static_cast<double>(i), -skew);
    }
    for (std::size_t i = 1; i <= keys; ++i) {
        const double rate =
            total * std::pow(static_cast<double>(i), -skew) / sum;
        const auto key = fmt::format("key-{}", i);
        if (i <= hot_keys) {
            this->key_rates[key] = rate;
        } else {
            this->slice_rates[slice_of(key, count).value] += rate;
        }
    }
}

std::vector<host_id> planner_cluster::hosts() const {
    std::vector<host_id> result;
    for (const auto& [host, record] : this->records) {
        if (record.state == member::member_state::active) {
            result.push_back(host);
        }
    }
    return result;
}

std::size_t planner_cluster::owned_by(std::size_t index) const {
    const auto record =
        std::next(this->records.begin(), static_cast<std::ptrdiff_t>(index));
    const auto& slices = this->planner_state.map.services.at(registry).slices;
    return static_cast<std::size_t>(std::count_if(
        slices.begin(),
        slices.end(),
        [&](const auto& one) {
            return one.owner.host == record->first;
        }
    ));
}

std::size_t planner_cluster::owned_by_first(std::size_t count) const {
    std::size_t owned = 0;
    for (std::size_t i = 0; i < count; ++i) {
        owned += this->owned_by(i);
    }
    return owned;
}

double planner_cluster::slice_imbalance() const {
    std::map<host_id, double> loads;
    const auto& slices = this->planner_state.map.services.at(registry).slices;
    for (const slice_assignment& one : slices) {
        loads[one.owner.host] += 1;
    }
    return imbalance(loads, this->hosts().size());
}

double planner_cluster::load_imbalance() const {
    std::map<host_id, double> loads;
    const auto& map = this->planner_state.map;
    const auto& slices = map.services.at(registry).slices;
    for (std::size_t i = 0; i < slices.size(); ++i) {
        loads[slices[i].owner.host] += this->slice_rates[i];
    }
    for (const auto& [key, rate] : this->key_rates) {
        loads[find_owner(map, registry, key)->assignment.owner.host] += rate;
    }
    return imbalance(loads, this->hosts().size());
}

double planner_cluster::load_imbalance_with(const hash_ring& ring) const {
    std::map<host_id, double> loads;
    const auto count = static_cast<std::uint32_t>(this->slice_rates.size());
    for (std::uint32_t i = 0; i < count; ++i) {
        loads[ring.owner_of(i)] += this->slice_rates[i];
    }
    for (const auto& [key, rate] : this->key_rates) {
        loads[ring.owner_of(slice_of(key, count).value)] += rate;
    }
    return imbalance(loads, this->hosts().size());
}

double planner_cluster::hottest_key_share() const {
    double sum = 0;
    double hottest = 0;
    for (const double rate : this->slice_rates) {
        sum += rate;
    }
    for (const auto& [key, rate] : this->key_rates) {
        sum += rate;
        hottest = std::max(hottest, rate);
    }
    return hottest * static_cast<double>(this->hosts().size()) / sum;
}

std::size_t planner_cluster::exceptions() const {
    return this->planner_state.map.services.at(registry).exceptions.size();
}

} // namespace apricotstile::benchmarks

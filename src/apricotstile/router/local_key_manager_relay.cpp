// Releases that one member submits for several owners; see
// keys/relayed_release.hpp.

#include <apricotstile/router/local_key_manager.hpp>

#include <apricotstile/peer/log_format.hpp>

#include <apricotstile/log/logger.hpp>

#include <algorithm>
#include <utility>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

/// How long a release waits for those of other owners.
constexpr duration batch_delay = 80ms;
/// How long a member keeps a release that it can't submit.
constexpr duration max_batch_delay = 250ms;
/// How long an owner waits for the member's answer. Longer than the member
/// keeps the release and a call to the table usually takes.
constexpr duration reply_timeout = 600ms;
/// How long an owner submits its releases itself after a member has failed to.
constexpr duration direct_duration = 3s;
/// The table's transactions have a limited number of entries, two for each
/// release.
constexpr std::size_t max_releases = 40;

constexpr auto log_prefix = "keys";

} // namespace

/// The member that submits this owner's releases; nothing if it does so itself.
std::optional<host_id>
local_key_manager::relaying_member(const keys::membership_view& view) const {
    if (view.members.empty() || boot_clock::now() < this->no_relay_before ||
        view.members.front().host == this->key_owner.self ||
        !this->relayed_in_flight.empty()) {
        return std::nullopt;
    }
    return view.members.front().host;
}

void local_key_manager::send_release_request(
    host_id member, const keys::relayed_release& release
) {
    const std::uint64_t sequence = ++this->last_relayed_release;
    this->relayed_release = sequence;
    peer::release_request request{release};
    request.release.sequence = sequence;
    this->dependencies.send(member, request);
    this->timers.after(reply_timeout, [this, sequence, member] {
        if (this->relayed_release != sequence) {
            return;
        }
        log::write(
            log::level::warning,
            log_prefix,
            "A member hasn't answered a release.",
            {{"member", peer::format_for_log(member)}}
        );
        this->handle_release_reply(
            {sequence, platform::commit_status::unknown, std::nullopt}
        );
    });
}

void local_key_manager::handle_release_reply(const peer::release_reply& reply) {
    if (reply.sequence != this->relayed_release) {
        return;
    }
    this->relayed_release = 0;
    platform::commit_result result;
    result.status = reply.status;
    if (reply.status == platform::commit_status::committed && !reply.change) {
        // Without the change the rows' versions aren't known.
        result.status = platform::commit_status::unknown;
    } else if (reply.status == platform::commit_status::committed) {
        result.versions = {reply.change->to_version};
        this->apply_map_change(*reply.change);
    } else if (reply.status != platform::commit_status::conflict) {
        this->no_relay_before = boot_clock::now() + direct_duration;
    }
    this->handle_result(result);
}

void local_key_manager::handle_release_request(
    host_id owner, const keys::relayed_release& release
) {
    this->relayed_waiting.push_back({boot_clock::now(), release});
    this->relayed_waiting.back().release.owner = owner;
    this->timers.after(batch_delay, [this] {
        this->advance();
    });
    this->timers.after(max_batch_delay, [this] {
        this->drop_relayed_releases();
    });
}

/// Answers the releases that can't be submitted.
void local_key_manager::drop_relayed_releases() {
    const instant now = boot_clock::now();
    std::vector<waiting_release> kept;
    for (waiting_release& one : this->relayed_waiting) {
        const bool is_late = now - one.arrived >= max_batch_delay;
        if (!is_late && keys::is_valid(one.release, this->key_owner.map)) {
            kept.push_back(std::move(one));
            continue;
        }
        const auto status = is_late ? platform::commit_status::unavailable
                                    : platform::commit_status::conflict;
        this->dependencies.send(
            one.release.owner,
            peer::release_reply{one.release.sequence, status, std::nullopt}
        );
    }
    this->relayed_waiting = std::move(kept);
}

/// The releases to submit now.
std::vector<keys::relayed_release> local_key_manager::due_relayed_releases() {
    this->drop_relayed_releases();
    std::vector<keys::relayed_release> due;
    if (this->relayed_waiting.empty() ||
        boot_clock::now() - this->relayed_waiting.front().arrived <
            batch_delay) {
        return due;
    }
    for (const waiting_release& one : this->relayed_waiting) {
        if (due.size() < max_releases) {
            due.push_back(one.release);
        }
    }
    return due;
}

/// The first `count` waiting releases are in the transaction in flight.
void local_key_manager::note_relayed_in_flight(std::size_t count) {
    const auto end =
        this->relayed_waiting.begin() + static_cast<std::ptrdiff_t>(count);
    this->relayed_in_flight.assign(this->relayed_waiting.begin(), end);
    this->relayed_waiting.erase(this->relayed_waiting.begin(), end);
}

/// Answers the owners whose releases the last transaction included. After a
/// conflict, those whose lease rows haven't changed are submitted again.
void local_key_manager::answer_relayed_releases(
    const platform::commit_result& result,
    const std::optional<keys::key_map_change>& change
) {
    const auto is_outdated = [&](const keys::relayed_release& release) {
        const platform::row_key lease =
            keys::lease_row_key(this->key_owner.service, release.owner);
        return std::any_of(
            result.current.begin(),
            result.current.end(),
            [&](const platform::row& row) {
                return row.key == lease && row.version != release.lease_version;
            }
        );
    };
    for (waiting_release& one : std::exchange(this->relayed_in_flight, {})) {
        if (result.status == platform::commit_status::conflict &&
            !is_outdated(one.release)) {
            this->relayed_waiting.push_back(std::move(one));
            continue;
        }
        this->dependencies.send(
            one.release.owner,
            peer::release_reply{one.release.sequence, result.status, change}
        );
    }
}

} // namespace apricotstile::router

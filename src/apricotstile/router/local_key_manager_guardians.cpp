// Requests promises that keep this daemon's lease valid from its guardians, and
// consents to revoke the leases of unreachable owners from theirs.

#include <apricotstile/router/local_key_manager.hpp>

#include <apricotstile/peer/log_format.hpp>

#include <apricotstile/log/logger.hpp>

#include <algorithm>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

/// How long an owner is unreachable before the revocation of its lease is
/// requested. Multiplied by one plus this daemon's rank, so that usually only
/// one daemon acts. A revocation takes some seconds; daemons beyond the first
/// ones wait for longer than that.
constexpr duration revocation_delay = 400ms;
constexpr std::size_t prompt_ranks = 3;
constexpr duration late_revocation_delay = 6s;

/// Between reads of the leases while an owner is unreachable.
constexpr duration unreachable_read_interval = 2s;

/// How long a guardian is unreachable before it is replaced.
constexpr duration guardian_replacement_delay = 2s;

/// Promise requests whose send times are kept; replies to older ones are
/// ignored.
constexpr std::size_t max_open_promise_requests = 16;

constexpr auto log_prefix = "keys";

duration revocation_delay_of(std::size_t rank) {
    const duration delay =
        revocation_delay * static_cast<duration::rep>(rank + 1);
    return rank < prompt_ranks ? delay : delay + late_revocation_delay;
}

} // namespace

/// Keeps guardians that are reachable or were until recently, and fills the
/// list with the most preferred other candidates.
void local_key_manager::choose_guardians() {
    const instant now = boot_clock::now();
    const keys::guardian_list candidates =
        this->dependencies.guardian_candidates();
    const auto has_restarted = [&](const keys::guardian_id& wanted) {
        return std::any_of(
            candidates.begin(),
            candidates.end(),
            [&](const keys::guardian_id& one) {
                return one.host == wanted.host && one.run != wanted.run;
            }
        );
    };
    keys::guardian_list chosen;
    for (const keys::guardian_id& one : this->key_owner.wanted_guardians) {
        const bool is_reachable =
            std::find(candidates.begin(), candidates.end(), one) !=
            candidates.end();
        if (is_reachable) {
            this->unreachable_since.erase(one.host);
        } else {
            this->unreachable_since.try_emplace(one.host, now);
        }
        const bool is_kept =
            is_reachable ||
            (!has_restarted(one) && now - this->unreachable_since[one.host] <
                                        guardian_replacement_delay);
        if (is_kept) {
            chosen.push_back(one);
        }
    }
    for (const keys::guardian_id& one : candidates) {
        if (chosen.size() >= this->key_owner.policy.lease.guardians) {
            break;
        }
        if (std::find(chosen.begin(), chosen.end(), one) == chosen.end()) {
            chosen.push_back(one);
        }
    }
    this->key_owner.wanted_guardians = std::move(chosen);
}

void local_key_manager::request_promises() {
    if (!this->key_owner.instance) {
        return;
    }
    this->choose_guardians();
    this->promise_request_times.emplace(
        ++this->last_promise_request, boot_clock::now()
    );
    if (this->promise_request_times.size() > max_open_promise_requests) {
        this->promise_request_times.erase(this->promise_request_times.begin());
    }
    for (const keys::guardian_id& one : keys::all_guardians(this->key_owner)) {
        this->dependencies.send(
            one.host,
            peer::promise_request{
                this->key_owner.lease_version,
                one.run,
                this->last_promise_request}
        );
    }
    this->advance();
}

/// Asks the guardians of unreachable owners to consent to the revocation of
/// their leases.
void local_key_manager::request_revocations() {
    const keys::membership_view view = this->dependencies.view();
    const instant now = boot_clock::now();
    const duration delay = revocation_delay_of(view.rank);
    this->is_owner_unreachable = false;
    for (const host_id host : keys::owners_of(this->key_owner.map)) {
        if (host == this->key_owner.self ||
            this->dependencies.is_reachable_member(host)) {
            this->unreachable_since.erase(host);
            continue;
        }
        const keys::watched_lease& lease =
            keys::watch_lease(this->key_owner, host, now);
        const auto [entry, is_new] =
            this->unreachable_since.try_emplace(host, now);
        const instant since = entry->second;
        this->is_owner_unreachable = true;
        if (is_new) {
            log::write(
                log::level::warning,
                log_prefix,
                "Owner is unreachable; asking its guardians to revoke its "
                "lease.",
                {{"owner", peer::format_for_log(host)},
                 {"lease", std::to_string(lease.version.value)},
                 {"guardians", peer::format_for_log(lease.guardians)}}
            );
        }
        if (now - since < delay) {
            continue;
        }
        const bool is_read =
            this->last_read_at > since &&
            now - this->last_read_at < unreachable_read_interval;
        if (!this->read_in_progress && !is_read) {
            this->read_leases();
        }
        for (const keys::guardian_id& guardian : lease.guardians) {
            if (guardian.host == this->key_owner.self) {
                if (this->dependencies.consent_to_revocation(
                        host, lease.version
                    )) {
                    keys::handle_consent(
                        this->key_owner, guardian.host, host, lease.version
                    );
                }
                continue;
            }
            this->dependencies.send(
                guardian.host, peer::revocation_request{host, lease.version}
            );
        }
    }
}

void local_key_manager::handle_reply(host_id peer, const peer::frame& reply) {
    if (const auto* const promise = std::get_if<peer::promise_reply>(&reply)) {
        const auto sent = this->promise_request_times.find(promise->sequence);
        if (sent == this->promise_request_times.end()) {
            return;
        }
        switch (promise->result) {
        case keys::promise_result::promised:
            keys::handle_promise(
                this->key_owner,
                {peer, promise->guardian_incarnation},
                sent->second
            );
            break;
        case keys::promise_result::lease_revoked:
            keys::handle_promise_refusal(this->key_owner);
            break;
        case keys::promise_result::wrong_incarnation:
            // The guardian's daemon was restarted. The directory will have
            // its new run, which then becomes a guardian.
            break;
        }
        this->advance();
    } else if (const auto* const end = std::get_if<peer::revocation_reply>(&reply)) {
        if (end->consented) {
            keys::handle_consent(
                this->key_owner, peer, end->holder, end->version
            );
            this->advance();
        }
    } else if (const auto* const released = std::get_if<peer::release_reply>(&reply)) {
        this->handle_release_reply(*released);
    } else if (const auto* const offer = std::get_if<peer::capacity_reply>(&reply)) {
        this->handle_offer(peer, *offer);
    }
}

} // namespace apricotstile::router

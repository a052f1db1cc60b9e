// Renews this daemon's lease by promises of its guardians, and asks guardians
// of unreachable owners to end the leases of these owners.

#include <apricotstile/router/key_desk.hpp>

#include <apricotstile/router/internal/log_texts.hpp>

#include <apricotstile/log/logger.hpp>

#include <algorithm>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;
using internal::text_of;

/// How long an owner is unreachable before its deposition is requested, times
/// one plus this daemon's rank, so that usually only one daemon acts.
constexpr duration deposition_delay = 400ms;

/// How long a guardian is unreachable before it is replaced.
constexpr duration guardian_patience = 2s;

/// Promise requests whose send times are kept; replies to older ones are
/// ignored.
constexpr std::size_t max_asked = 16;

constexpr auto log_prefix = "keys";

} // namespace

/// Keeps guardians that are reachable or were until recently, and fills the
/// list with the most preferred other candidates.
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

/// Asks the guardians of unreachable owners to agree to end their leases.
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
                "Owner is unreachable; asking its guardians to end its lease.",
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
            // The guardian's daemon was restarted. The directory will have
            // its new run, which then becomes a guardian.
            break;
        }
        this->pump();
    } else if (const auto* const end = std::get_if<deposition_reply>(&reply)) {
        if (end->agreed) {
            keys::take_agreement(this->keeper, peer, end->holder, end->version);
            this->pump();
        }
    } else if (const auto* const room = std::get_if<room_reply>(&reply)) {
        this->take_offer(peer, *room);
    }
}

} // namespace apricotstile::router

// Answers that wait for the link, and their parts.

#include <apricotstile/peer/answer_sender.hpp>

#include <apricotstile/log/logger.hpp>
#include <apricotstile/peer/log_format.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace apricotstile::peer {

namespace {

using namespace std::chrono_literals;

constexpr auto log_prefix = "egress";

/// A link to a peer with more unsent bytes in this process gets no parts: its
/// small frames would wait behind them.
constexpr std::size_t max_unsent_bytes = 16U << 10U;

/// Backlog at which the log says that the link is saturated, and that it no
/// longer is.
constexpr duration saturated_backlog = 200ms;
constexpr duration relieved_backlog = 50ms;

} // namespace

answer_sender::answer_sender(
    peer_links& links,
    net::timer_queue& timers,
    double link_bytes_per_second,
    load_source load
)
    : links(links), timers(timers), load(std::move(load)) {
    this->schedule.policy.bytes_per_second = link_bytes_per_second;
}

std::optional<duration>
answer_sender::admit(peer_request_id from, const request_properties& request) {
    if (!serving::is_enabled(this->schedule)) {
        return std::nullopt;
    }
    this->last_id = next(this->last_id);
    const serving::egress_id id = this->last_id;
    const instant now = boot_clock::now();
    const auto refusal = serving::admit(
        this->schedule,
        {id,
         request.route_hash,
         request.nested,
         request.service_time,
         request.target,
         request.deadline},
        now
    );
    if (refusal) {
        log::write(
            log::level::info,
            log_prefix,
            "Request refused: the link can't carry its answer in time.",
            {{"request", request.request_id},
             {"expected_bytes",
              std::to_string(static_cast<std::uint64_t>(serving::expected_bytes(
                  this->schedule, request.route_hash, now
              )))},
             {"backlog_ms", millis_text(serving::backlog(this->schedule, now))},
             {"left_ms", millis_text(request.deadline - now)},
             {"retry_after_ms", millis_text(refusal->retry_after)}}
        );
        return refusal->retry_after;
    }
    // A peer never reuses a stream, but must not leave an entry behind if it
    // does.
    this->cancel(from);
    answer added;
    added.to = from;
    added.request = request;
    this->answers.emplace(id, std::move(added));
    this->ids[from] = id;
    this->note_saturation();
    return std::nullopt;
}

void answer_sender::send(peer_request_id to, routed_response&& response) {
    const auto found = this->ids.find(to);
    if (found == this->ids.end()) {
        this->respond(to, std::move(response));
        return;
    }
    const serving::egress_id id = found->second;
    answer& item = this->answers.at(id);
    serving::note_end(this->schedule, id);
    const bool is_answered =
        response.outcome == serving::attempt_outcome::answered;
    if (is_answered) {
        serving::note_size(
            this->schedule,
            item.request.route_hash,
            response.body.size(),
            boot_clock::now()
        );
    }
    if (!is_answered ||
        !serving::is_large(this->schedule, response.body.size())) {
        this->ids.erase(found);
        this->answers.erase(id);
        this->respond(to, std::move(response));
        return;
    }
    item.size = response.body.size();
    item.response = std::move(response);
    item.held_at = boot_clock::now();
    serving::hold(
        this->schedule,
        id,
        item.size,
        item.request.deadline,
        item.request.target
    );
    this->release();
}

void answer_sender::cancel(peer_request_id from) {
    const auto found = this->ids.find(from);
    if (found == this->ids.end()) {
        return;
    }
    serving::note_end(this->schedule, found->second);
    serving::withdraw(this->schedule, found->second);
    this->answers.erase(found->second);
    this->ids.erase(found);
}

void answer_sender::respond(peer_request_id to, routed_response&& response) {
    this->links.respond(to, {to.stream, std::move(response), this->load(), {}});
}

/// Sends what is due and waits for the next moment at which something is.
void answer_sender::release() {
    this->timers.cancel(this->timer);
    const std::vector<serving::egress_action> actions = serving::release_due(
        this->schedule,
        boot_clock::now(),
        [this](serving::egress_id id) {
            return this->links.unsent_response_bytes(this->answers.at(id).to) <=
                   max_unsent_bytes;
        }
    );
    for (const serving::egress_action& action : actions) {
        const auto found = this->answers.find(action.id);
        if (found == this->answers.end()) {
            continue;
        }
        if (action.decision == serving::egress_decision::send) {
            this->send_part(found->second, action);
        } else {
            this->give_up(found->second, action.decision);
        }
        if (action.decision != serving::egress_decision::send ||
            action.is_last) {
            this->ids.erase(found->second.to);
            this->answers.erase(found);
        }
    }
    this->note_saturation();
    if (const auto due = serving::next_release(this->schedule)) {
        this->timer = this->timers.at(*due, [this] {
            this->release();
        });
    }
}

void answer_sender::send_part(
    answer& item, const serving::egress_action& action
) {
    ++this->sent_parts;
    const std::string_view unsent =
        item.response.body.view().substr(item.sent_bytes);
    if (action.is_last) {
        item.response.body = std::string{unsent};
        this->respond(item.to, std::move(item.response));
        return;
    }
    this->links.respond_part(
        item.to, {item.to.stream, std::string{unsent.substr(0, action.bytes)}}
    );
    item.sent_bytes += action.bytes;
}

/// The request has run, so the peer must not be told otherwise. It may try
/// another instance only if there is time for it.
void answer_sender::give_up(answer& item, serving::egress_decision reason) {
    const bool is_late = reason == serving::egress_decision::give_up_late;
    const instant now = boot_clock::now();
    log::write(
        log::level::warning,
        log_prefix,
        is_late ? "Answer given up: the link can't carry it in time."
                : "Answer given up: too many bytes are held back.",
        {{"request", item.request.request_id},
         {"bytes", std::to_string(item.size)},
         {"unsent", std::to_string(item.size - item.sent_bytes)},
         {"held_ms", millis_text(now - item.held_at)},
         {"left_ms", millis_text(item.request.deadline - now)},
         {"backlog_ms", millis_text(serving::backlog(this->schedule, now))}}
    );
    this->respond(
        item.to,
        unanswered_response(
            is_late ? serving::attempt_outcome::timed_out
                    : serving::attempt_outcome::lost
        )
    );
}

void answer_sender::note_saturation() {
    const duration backlog =
        serving::backlog(this->schedule, boot_clock::now());
    const bool saturated =
        backlog >= (this->is_saturated ? relieved_backlog : saturated_backlog);
    if (saturated == this->is_saturated) {
        return;
    }
    this->is_saturated = saturated;
    log::write(
        log::level::info,
        log_prefix,
        saturated ? "The link is saturated by large answers."
                  : "The link is no longer saturated.",
        {{"backlog_ms", millis_text(backlog)},
         {"held", std::to_string(this->held())},
         {"refused", std::to_string(this->schedule.refused)}}
    );
}

serving::reported_load
answer_sender::with_link_load(const serving::reported_load& load) const {
    return serving::with_link_load(this->schedule, load, boot_clock::now());
}

std::size_t answer_sender::held() const {
    return this->schedule.held.size();
}

nlohmann::json answer_sender::describe() const {
    return {
        {"link_bytes_per_second", this->schedule.policy.bytes_per_second},
        {"held", this->schedule.held.size()},
        {"held_bytes", this->schedule.held_bytes},
        {"expected", this->schedule.expected.size()},
        {"backlog_seconds",
         std::chrono::duration<double>(
             serving::backlog(this->schedule, boot_clock::now())
         )
             .count()},
        {"parts", this->sent_parts},
        {"refused", this->schedule.refused},
        {"given_up_late", this->schedule.given_up_late},
        {"given_up_for_memory", this->schedule.given_up_for_memory}};
}

} // namespace apricotstile::peer

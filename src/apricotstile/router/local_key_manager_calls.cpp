// Calls that grant keys to the instance and take them back.

#include <apricotstile/router/local_key_manager.hpp>

#include <apricotstile/peer/log_format.hpp>

#include <apricotstile/keys/grants_by_call.hpp>
#include <apricotstile/log/logger.hpp>
#include <apricotstile/sidecar/key_call_sender.hpp>

namespace apricotstile::router {

namespace {

constexpr auto log_prefix = "keys";

const char* name_of(keys::call_outcome outcome) {
    switch (outcome) {
    case keys::call_outcome::accepted:
        return "accepted";
    case keys::call_outcome::outdated_token:
        return "outdated_token";
    case keys::call_outcome::rejected:
        return "rejected";
    case keys::call_outcome::not_sent:
        return "not_sent";
    case keys::call_outcome::no_response:
        break;
    }
    return "no_response";
}

void log_failure(
    const char* call,
    const keys::key_range& keys,
    fencing_token fence,
    keys::call_outcome outcome
) {
    log::write(
        log::level::warning,
        log_prefix,
        "Call to the instance failed.",
        {{"call", call},
         {"keys", peer::format_for_log(keys)},
         {"token", std::to_string(fence.value)},
         {"outcome", name_of(outcome)}}
    );
}

} // namespace

void local_key_manager::handle_heartbeat_for_calls(bool is_new_run) {
    if (is_new_run) {
        this->calls->abort_all();
    }
    this->calls->handle_heartbeat();
}

/// Sends the calls to the instance that are due.
void local_key_manager::advance_calls() {
    if (!this->calls) {
        return;
    }
    const instant now = boot_clock::now();
    for (const keys::release_call& call :
         keys::due_release_calls(this->key_owner, now)) {
        this->send_release(call);
    }
    if (!this->calls->can_send_grant()) {
        return;
    }
    if (const auto call = keys::next_grant_call(this->key_owner, now)) {
        this->send_grant(*call);
    }
}

void local_key_manager::send_grant(const keys::grant_call& call) {
    this->calls->send(call, [this, call](const keys::call_result& result) {
        if (result.outcome != keys::call_outcome::accepted) {
            log_failure("grant", call.keys, call.fence, result.outcome);
        }
        keys::handle_grant_result(
            this->key_owner, call.id, result, boot_clock::now()
        );
        this->advance_calls();
    });
}

void local_key_manager::send_release(const keys::release_call& call) {
    this->calls->send(call, [this, call](const keys::call_result& result) {
        if (result.outcome != keys::call_outcome::accepted) {
            log_failure("release", call.keys, call.fence, result.outcome);
        }
        keys::handle_release_result(
            this->key_owner, call.id, result, boot_clock::now()
        );
        this->advance();
    });
}

} // namespace apricotstile::router

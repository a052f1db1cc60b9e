// One attempt at a call, as it is logged.

#ifndef APRICOTSTILE_STANDINS_CALLER_ATTEMPT_HPP
#define APRICOTSTILE_STANDINS_CALLER_ATTEMPT_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/http/client_connection.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace apricotstile::standins {

struct planned_call;

enum class attempt_result : std::uint8_t {
    answered,
    not_run,
    unknown,
    /// The connection could not be opened.
    not_sent,
    /// The connection ended before the whole answer.
    connection_lost,
    /// No whole answer within the deadline and some time to spare.
    timed_out,
    malformed,
    /// The caller hung up.
    hung_up
};

struct attempt {
    std::string call;
    std::uint32_t number{1};
    std::string daemon;
    std::string service;
    std::string key;
    std::string customer;
    /// Empty when the call is idempotent.
    std::string idempotency_key;
    /// When the open loop meant to send it; latency counts from here.
    instant due{};
    instant sent{};
    instant done{};
    attempt_result result{attempt_result::unknown};
    std::string refusal;
    std::uint32_t status{0};
    /// False when a successful answer isn't the one to this call.
    bool right_answer{true};
    duration retry_after{0};
    /// For idempotency keys that are first sent later; may be empty.
    std::string fresh_ticket;
};

/// True when the attempt may have run.
[[nodiscard]] bool may_have_run(attempt_result result);

/// Fills in what the exchange brought.
void note_exchange(
    attempt& made,
    const planned_call& call,
    const http::exchange_result& got,
    duration time_allowed
);

[[nodiscard]] nlohmann::json to_line(const attempt& made);

/// Throws an exception of the JSON library for other lines.
[[nodiscard]] attempt parse_attempt(const nlohmann::json& line);

} // namespace apricotstile::standins

#endif

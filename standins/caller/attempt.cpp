// Judges exchanges and writes attempts as JSON.

#include <standins/caller/attempt.hpp>

#include <standins/caller/planned_call.hpp>
#include <standins/support/echoed_request.hpp>
#include <standins/support/json_time.hpp>

#include <nlohmann/json.hpp>

#include <charconv>

namespace apricotstile::standins {

NLOHMANN_JSON_SERIALIZE_ENUM(
    attempt_result,
    {{attempt_result::answered, "answered"},
     {attempt_result::not_run, "not_run"},
     {attempt_result::unknown, "unknown"},
     {attempt_result::not_sent, "not_sent"},
     {attempt_result::connection_lost, "connection_lost"},
     {attempt_result::timed_out, "timed_out"},
     {attempt_result::malformed, "malformed"},
     {attempt_result::hung_up, "hung_up"}}
)

namespace {

constexpr std::uint32_t first_error_status = 300;

attempt_result failure_of(
    http::exchange_failure failure, duration took, duration time_allowed
) {
    switch (failure) {
    case http::exchange_failure::not_sent:
        return attempt_result::not_sent;
    case http::exchange_failure::lost:
        return took >= time_allowed ? attempt_result::timed_out
                                    : attempt_result::connection_lost;
    case http::exchange_failure::timed_out:
        return attempt_result::timed_out;
    default:
        return attempt_result::malformed;
    }
}

attempt_result outcome_of(const http::http_response& response) {
    const auto word = header_value(response.headers, "Apricotstile-Outcome");
    if (word == "answered") {
        return attempt_result::answered;
    }
    if (word == "not_run") {
        return attempt_result::not_run;
    }
    return word == "unknown" ? attempt_result::unknown
                             : attempt_result::malformed;
}

duration retry_after_of(const http::http_response& response) {
    const auto text =
        header_value(response.headers, "Apricotstile-Retry-After-Ms");
    std::uint32_t count = 0;
    std::from_chars(text.data(), text.data() + text.size(), count);
    return std::chrono::milliseconds{count};
}

} // namespace

bool may_have_run(attempt_result result) {
    return result != attempt_result::not_run &&
           result != attempt_result::not_sent;
}

void note_exchange(
    attempt& made,
    const planned_call& call,
    const http::exchange_result& got,
    duration time_allowed
) {
    if (got.failure != http::exchange_failure::none) {
        made.result =
            failure_of(got.failure, made.done - made.sent, time_allowed);
        return;
    }
    const http::http_response& response = got.response;
    made.result = outcome_of(response);
    made.status = response.status;
    made.refusal = header_value(response.headers, "Apricotstile-Refusal");
    made.retry_after = retry_after_of(response);
    made.fresh_ticket = header_value(response.headers, "Apricotstile-Ticket");
    const bool succeeded = made.result == attempt_result::answered &&
                           response.status < first_error_status;
    if (succeeded) {
        const echoed_request sent{
            call.service,
            call.key,
            call.customer,
            call.name,
            digest_of(call.body)};
        made.right_answer = is_answer_to(sent, response.body);
    }
}

nlohmann::json to_line(const attempt& made) {
    return {
        {"call", made.call},
        {"attempt", made.number},
        {"daemon", made.daemon},
        {"service", made.service},
        {"key", made.key},
        {"customer", made.customer},
        {"idempotency_key", made.idempotency_key},
        {"due_us", to_microseconds(made.due)},
        {"sent_us", to_microseconds(made.sent)},
        {"done_us", to_microseconds(made.done)},
        {"result", made.result},
        {"refusal", made.refusal},
        {"status", made.status},
        {"right_answer", made.right_answer}};
}

attempt parse_attempt(const nlohmann::json& line) {
    const auto time_at = [&line](const char* name) {
        return from_microseconds(line.at(name).get<std::int64_t>());
    };
    attempt made;
    line.at("call").get_to(made.call);
    line.at("attempt").get_to(made.number);
    line.at("daemon").get_to(made.daemon);
    line.at("service").get_to(made.service);
    line.at("key").get_to(made.key);
    line.at("customer").get_to(made.customer);
    line.at("idempotency_key").get_to(made.idempotency_key);
    made.due = time_at("due_us");
    made.sent = time_at("sent_us");
    made.done = time_at("done_us");
    line.at("result").get_to(made.result);
    line.at("refusal").get_to(made.refusal);
    line.at("status").get_to(made.status);
    line.at("right_answer").get_to(made.right_answer);
    return made;
}

} // namespace apricotstile::standins

// A request and its response as sent between daemons.

#ifndef APRICOTSTILE_REQUEST_ROUTED_REQUEST_HPP
#define APRICOTSTILE_REQUEST_ROUTED_REQUEST_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/request/outcome.hpp>

#include <cstdint>
#include <string>

namespace apricotstile::request {

/// Priority of a request; a lower value goes first.
enum class work_class : std::uint8_t { critical, normal, background };

constexpr std::size_t work_class_count = 3;

struct routed_request {
    request_id id;
    service_id service;
    std::string key;
    customer_id customer;
    work_class priority{work_class::normal};
    /// True if running it twice has the same effect as running it once.
    bool idempotent{true};
    /// Empty if the caller sent none; always present when not idempotent.
    idempotency_key caller_key;
    /// The ticket that the caller sent with its key; empty if none.
    std::string ticket;
    /// Time left until the caller's deadline when the request was sent.
    duration time_left{0};
    /// Version of the map that the sender routed by.
    map_version routed_by;
    std::string method;
    /// Path and query for the upstream, beginning with '/'.
    std::string target;
    std::string body;
};

struct routed_response {
    request_id id;
    request::outcome outcome{outcome::unknown};
    request::refusal refusal{refusal::none};
    /// With `not_run`: time after which to retry, zero for immediately.
    duration retry_after{0};
    /// Version of the responder's map; newer than `routed_by` if ownership has
    /// moved.
    map_version responder_map;
    /// A new ticket for later keys; empty if the responder doesn't own the
    /// slice.
    std::string ticket;
    /// With `answered`: the upstream's status, content type and whole body.
    std::uint16_t status{0};
    std::string content_type;
    std::string body;
};

template <class Archive>
void serialize(Archive& archive, routed_request& value) {
    archive(value.id, value.service, value.key, value.customer);
    archive(value.priority, value.idempotent, value.caller_key);
    archive(value.ticket, value.time_left, value.routed_by);
    archive(value.method, value.target, value.body);
}

template <class Archive>
void serialize(Archive& archive, routed_response& value) {
    archive(value.id, value.outcome, value.refusal, value.retry_after);
    archive(value.responder_map, value.ticket, value.status);
    archive(value.content_type, value.body);
}

} // namespace apricotstile::request

#endif

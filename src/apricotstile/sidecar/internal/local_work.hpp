// Work at the instance beside this daemon, and the connections that carry it.

#ifndef APRICOTSTILE_SIDECAR_INTERNAL_LOCAL_WORK_HPP
#define APRICOTSTILE_SIDECAR_INTERNAL_LOCAL_WORK_HPP

#include <apricotstile/core/hashing.hpp>
#include <apricotstile/http/message_reader.hpp>
#include <apricotstile/net/stream.hpp>
#include <apricotstile/serving/memory_reservation.hpp>
#include <apricotstile/sidecar/internal/request_features.hpp>
#include <apricotstile/sidecar/local_instance.hpp>

namespace apricotstile::sidecar {

namespace internal {

/// Of one answer, and of all unfinished answers together.
inline constexpr std::uint64_t max_answer_bytes = 16U << 20U;
/// Used if an instance doesn't state its idle timeout.
inline constexpr duration default_idle_timeout = std::chrono::seconds{4};

/// An idle connection is closed this long before the instance closes it.
inline constexpr duration idle_margin = std::chrono::milliseconds{1500};

/// Service time that is assumed before the first answer.
inline constexpr duration default_service_time = std::chrono::milliseconds{50};

/// The same at every host. The sender is the service beside the daemon that
/// the request came in at, which the instance is told. `Request` is a routed
/// or a received one.
template <class Request>
[[nodiscard]] upstream::request_identity
identity_of(const Request& request, const service_id& caller_service) {
    upstream::request_identity result;
    result.content = {
        combined_hash({request.method, request.target, request.body.view()})};
    result.from_sender = {combined_hash(
        {request.method,
         request.target,
         caller_service.value,
         request.body.view()}
    )};
    return result;
}

} // namespace internal

struct local_instance::work {
    explicit work(serving::memory_budget& memory) : memory(memory) {}

    serving::work_id id;
    peer::routed_request request;
    service_id caller_service;
    response_handler done;
    std::string request_id;
    /// The same for every attempt of the same request.
    upstream::request_identity identity;
    /// As it was offered to the queue.
    serving::offered_work offered;
    serving::work_features features{};
    instant deadline;
    instant started;
    /// `read_usual_time` when it started.
    duration usual_start{0};
    net::timer_id timer;
    /// Carries the work while it runs; null otherwise.
    connection* conn{nullptr};
    /// For the request without its body.
    serving::memory_reservation memory;
};

struct local_instance::connection {
    explicit connection(serving::memory_budget& memory) : memory(memory) {}

    net::stream* stream{nullptr};
    http::response_reader reader{internal::max_answer_bytes};
    /// The work whose answer is awaited; null while idle.
    work* current{nullptr};
    bool open{false};
    /// Bytes received of the awaited answer.
    std::size_t answer_bytes{0};
    /// Whether it has carried an exchange before.
    bool used{false};
    /// Whether it may carry another exchange.
    bool reusable{true};
    /// Ids of the requests that the instance refused on it. None of them is
    /// sent on it again: a refusal that comes once more would count as the
    /// answer.
    std::vector<std::string> refused_requests;
    duration idle_timeout{internal::default_idle_timeout};
    instant idle_since;
    /// For the answer that is being received, and copies of what is unsent.
    serving::memory_reservation memory;

    void update_reservation() {
        this->memory.set(
            this->reader.held_bytes() +
            (this->stream == nullptr ? 0 : this->stream->copied_bytes())
        );
    }
};

} // namespace apricotstile::sidecar

#endif

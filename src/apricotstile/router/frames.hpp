// What daemons tell each other over their links.

#ifndef APRICOTSTILE_ROUTER_FRAMES_HPP
#define APRICOTSTILE_ROUTER_FRAMES_HPP

#include <apricotstile/directory/entry.hpp>
#include <apricotstile/http/message.hpp>
#include <apricotstile/keys/guardian.hpp>
#include <apricotstile/keys/map_change.hpp>
#include <apricotstile/platform/transaction.hpp>
#include <apricotstile/router/compact_codec.hpp>
#include <apricotstile/router/header_codec.hpp>
#include <apricotstile/routing/routing_config.hpp>
#include <apricotstile/serving/instance_choice.hpp>
#include <apricotstile/serving/request_progress.hpp>
#include <apricotstile/upstream/suspicion.hpp>

#include <optional>
#include <variant>

namespace apricotstile::router {

/// Numbers the requests of one link connection; never reused on it.
using stream_id = strong_id<struct stream_id_tag, std::uint64_t>;

/// A request for the instance beside the receiving daemon.
struct routed_request {
    /// Hash of the service's name: the receiver checks that it still is the
    /// service beside it.
    std::uint32_t service{0};
    /// Hash of the route's name, for the receiver's service times.
    std::uint32_t route{0};
    std::string method;
    std::string target;
    std::vector<http::header> headers;
    std::string body;
    std::optional<keys::key_number> key;
    std::uint32_t priority{0};
    /// Until the answer is late, and until the caller leaves.
    duration to_target{0};
    duration to_deadline{0};
};

struct routed_response {
    serving::attempt_outcome outcome{serving::attempt_outcome::lost};
    std::uint16_t status{0};
    std::vector<http::header> headers;
    std::string body;
    duration retry_after{0};
};

struct request_frame {
    stream_id stream;
    routed_request request;
};

struct response_frame {
    stream_id stream;
    routed_response response;
    serving::reported_load load;
};

struct cancel_frame {
    stream_id stream;
};

/// The first frame of each side, and again whenever the entry changes.
struct entry_frame {
    directory::entry entry;
    serving::reported_load load;
};

/// A holder asks a guardian to promise its lease.
struct promise_request {
    /// Of the lease's row as the holder knows it.
    platform::row_version version;
    /// The run of the guardian that is asked.
    incarnation guardian_run;
    std::uint64_t sequence{0};
};

struct promise_reply {
    std::uint64_t sequence{0};
    incarnation guardian_run;
    keys::promise_result result{keys::promise_result::another_run};
};

/// Asks a guardian whether the lease of a daemon that isn't reached may end.
struct deposition_request {
    host_id holder;
    platform::row_version version;
};

struct deposition_reply {
    host_id holder;
    platform::row_version version;
    bool agreed{false};
};

struct map_change_frame {
    keys::map_change change;
};

/// An owner of keys asks a member of its service for room, in thousandths of
/// a slot; see `keys/relief.hpp`.
struct room_request {
    std::uint64_t sequence{0};
    std::uint64_t wanted{0};
};

struct room_reply {
    std::uint64_t sequence{0};
    std::uint64_t offered{0};
    duration mean_service{0};
};

/// What the owner takes of the offer; none of it where `taken` is zero.
struct room_claim {
    std::uint64_t sequence{0};
    std::uint64_t taken{0};
};

/// What a daemon holds against requests of its service, without labels.
struct suspicions_frame {
    std::vector<upstream::suspicion_report> reports;
};

/// A daemon that knows no configuration, since the store doesn't answer, asks
/// a peer for its own.
struct config_request {};

struct config_reply {
    routing::routing_config config;
};

/// Answered by a `pong_frame` at once.
struct ping_frame {};

struct pong_frame {};

using frame = std::variant<
    request_frame,
    response_frame,
    cancel_frame,
    entry_frame,
    promise_request,
    promise_reply,
    deposition_request,
    deposition_reply,
    map_change_frame,
    ping_frame,
    pong_frame,
    room_request,
    room_reply,
    room_claim,
    suspicions_frame,
    config_request,
    config_reply>;

/// The bytes of a frame with its length before it. `headers` is the table of
/// the direction that it is sent in, and each frame made is to be sent.
[[nodiscard]] std::string to_bytes(const frame& value, header_table& headers);

/// Takes the first whole frame off `received`, or nothing while it isn't
/// whole. Throws `decode_error`.
[[nodiscard]] std::optional<frame>
take_frame(std::string& received, header_table& headers);

[[nodiscard]] std::uint32_t name_hash(const std::string& name);

} // namespace apricotstile::router

#endif

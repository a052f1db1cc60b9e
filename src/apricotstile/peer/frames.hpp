// Messages that daemons exchange over their links, and their encoding.

#ifndef APRICOTSTILE_PEER_FRAMES_HPP
#define APRICOTSTILE_PEER_FRAMES_HPP

#include <apricotstile/core/shared_bytes.hpp>
#include <apricotstile/directory/entry.hpp>
#include <apricotstile/http/message.hpp>
#include <apricotstile/keys/key_lease_guardian.hpp>
#include <apricotstile/keys/key_map_change.hpp>
#include <apricotstile/keys/relayed_release.hpp>
#include <apricotstile/peer/compact_codec.hpp>
#include <apricotstile/peer/header_codec.hpp>
#include <apricotstile/peer/packed_config.hpp>
#include <apricotstile/platform/transaction.hpp>
#include <apricotstile/routing/evacuations.hpp>
#include <apricotstile/routing/routing_config.hpp>
#include <apricotstile/serving/instance_choice.hpp>
#include <apricotstile/serving/request_progress.hpp>
#include <apricotstile/upstream/crash_record.hpp>

#include <optional>
#include <variant>

namespace apricotstile::peer {

/// Identifies a request on one link connection; never reused on it.
using stream_id = strong_id<struct stream_id_tag, std::uint64_t>;

/// A request for the local instance of the receiving daemon.
struct routed_request {
    /// Hash of the service's name, by which the receiver checks that it still
    /// serves this service.
    std::uint32_t service_hash{0};
    /// Hash of the route's name; the receiver keeps service times by route.
    std::uint32_t route_hash{0};
    std::string method;
    std::string target;
    std::vector<http::header> headers;
    shared_bytes body;
    std::optional<keys::key_number> key;
    std::uint32_t priority{0};
    /// Time left until the route's target latency is exceeded.
    duration time_to_target{0};
    /// Time left until the caller stops waiting.
    duration time_to_deadline{0};
};

/// The result of a routed request at the instance that it was sent to.
struct routed_response {
    serving::attempt_outcome outcome{serving::attempt_outcome::lost};
    std::uint16_t status{0};
    std::vector<http::header> headers;
    shared_bytes body;
    duration retry_after{0};
};

/// A response that no instance has given.
[[nodiscard]] inline routed_response unanswered_response(
    serving::attempt_outcome outcome, duration retry_after = duration{0}
) {
    routed_response response;
    response.outcome = outcome;
    response.retry_after = retry_after;
    return response;
}

struct request_frame {
    stream_id stream;
    routed_request request;
    /// Version of the configuration that the sender has applied.
    routing::config_version config;
};

struct response_frame {
    stream_id stream;
    routed_response response;
    serving::reported_load load;
    /// Version of the configuration that the sender has applied.
    routing::config_version config;
};

struct cancel_frame {
    stream_id stream;
};

/// The sender's directory entry. It is the first frame of each side, and is
/// sent again whenever the entry changes.
struct entry_frame {
    directory::member_entry member;
    serving::reported_load load;
    /// Whether the sender understands `request_head` and `request_part`;
    /// earlier daemons don't.
    bool accepts_parts{true};
};

/// A holder asks a guardian to promise its lease.
struct promise_request {
    /// Version of the lease's row, as known to the holder.
    platform::row_version version;
    /// Run of the guardian's daemon that the request is meant for.
    incarnation guardian_incarnation;
    std::uint64_t sequence{0};
};

/// A guardian's reply; `sequence` is that of the request.
struct promise_reply {
    std::uint64_t sequence{0};
    incarnation guardian_incarnation;
    keys::promise_result result{keys::promise_result::wrong_incarnation};
};

/// Asks a guardian to consent to the revocation of an unreachable daemon's
/// lease.
struct revocation_request {
    host_id holder;
    platform::row_version version;
};

struct revocation_reply {
    host_id holder;
    platform::row_version version;
    bool consented{false};
};

struct map_change_frame {
    keys::key_map_change change;
};

/// An owner asks a member of its service to submit a release; see
/// `keys/relayed_release.hpp`.
struct release_request {
    keys::relayed_release release;
};

struct release_reply {
    std::uint64_t sequence{0};
    platform::commit_status status{platform::commit_status::unavailable};
    /// If it was committed: the change of the map.
    std::optional<keys::key_map_change> change;
};

/// An owner of keys asks a member of its service for free capacity; see
/// `keys/load_rebalancing.hpp`.
struct capacity_request {
    std::uint64_t sequence{0};
    std::uint64_t wanted_millislots{0};
};

/// The capacity that a member has reserved for the owner that asked; zero if
/// it has none.
struct capacity_reply {
    std::uint64_t sequence{0};
    std::uint64_t offered_millislots{0};
    /// Mean service time of the member's instance; zero while unknown.
    duration mean_service_time{0};
};

/// The part of the offered capacity that the owner uses; zero frees the whole
/// reservation.
struct capacity_claim {
    std::uint64_t sequence{0};
    std::uint64_t claimed_millislots{0};
};

/// Crash counts of requests that are suspected of crashing instances. Sent
/// without labels.
struct crash_reports_frame {
    std::vector<upstream::crash_report> reports;
};

/// Asks a peer for its configuration, as soon as it has this version or a newer
/// one.
struct config_request {
    routing::config_version at_least;
    /// Whether the reply may be a `packed_config`.
    bool accepts_packed{false};
};

/// The reply to a peer that accepts no `packed_config`.
struct config_reply {
    routing::routing_config config;
};

/// A reader of the configuration tells its region what it has applied; see
/// `routing/config_readers.hpp`.
struct config_notice {
    routing::config_version version;
    /// Whether it reads all changes at the moment.
    bool is_current{false};
    /// The newest era of the table that it has seen.
    platform::table_era era{platform::first_era};
};

/// The failure domains that the sender knows to be evacuated; see
/// `routing/evacuations.hpp`.
struct evacuation_notice {
    routing::evacuation_report report;
};

/// Departures in the receiver's own entry that the sender knew before the
/// receiver's current run; sent when the sender learns of that run.
struct earlier_departures_frame {
    directory::departures departures;
};

/// Asks a peer to keep the departures in the sender's entry of this revision.
struct keep_departures_request {
    std::uint64_t revision{0};
    directory::departures departures;
};

struct keep_departures_reply {
    std::uint64_t revision{0};
};

/// The next bytes of the body of a large response, sent while small frames pass
/// in between; see `serving/egress_schedule.hpp`. Its `response_frame` follows
/// with the last bytes, or without the body if it is given up.
struct response_part {
    stream_id stream;
    std::string bytes;
};

/// A request with a large body, which follows in parts while other frames pass
/// in between. The receiver may refuse it before the body has arrived.
struct request_head {
    stream_id stream;
    /// Without the body.
    routed_request request;
    routing::config_version config;
    std::uint64_t body_bytes{0};
};

/// The next bytes of the body of a request. Dropped if it was refused or
/// cancelled.
struct request_part {
    stream_id stream;
    std::string bytes;
};

/// The receiver replies with a `pong_frame` at once.
struct ping_frame {};

struct pong_frame {};

using frame = std::variant<
    request_frame,
    response_frame,
    cancel_frame,
    entry_frame,
    promise_request,
    promise_reply,
    revocation_request,
    revocation_reply,
    map_change_frame,
    ping_frame,
    pong_frame,
    capacity_request,
    capacity_reply,
    capacity_claim,
    crash_reports_frame,
    config_request,
    config_reply,
    earlier_departures_frame,
    keep_departures_request,
    keep_departures_reply,
    config_notice,
    release_request,
    release_reply,
    response_part,
    evacuation_notice,
    packed_config,
    request_head,
    request_part>;

/// Encodes a frame with its length prefix. `headers` is the table of the
/// direction that the frame is sent in. Each encoded frame must be sent, in
/// order, as the receiver's table follows the sender's.
[[nodiscard]] std::string
encode_frame(const frame& value, header_table& headers);

/// Decodes the first frame in `received` and removes it from there. Returns
/// nothing while the frame is incomplete. Throws `decode_error` if it is
/// malformed.
[[nodiscard]] std::optional<frame>
decode_frame(std::string& received, header_table& headers);

} // namespace apricotstile::peer

#endif

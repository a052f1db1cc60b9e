// Tells a crash of the local upstream from single lost connections and counts
// the crash against the requests that were in flight, so that a request that
// crashes every upstream is found among harmless ones. Connections that are
// reset while the upstream keeps running don't count against any request.

#ifndef APRICOTSTILE_UPSTREAM_CRASH_DETECTOR_HPP
#define APRICOTSTILE_UPSTREAM_CRASH_DETECTOR_HPP

#include <apricotstile/upstream/quarantine.hpp>

#include <vector>

namespace apricotstile::upstream {

/// Why a request has no answer.
enum class request_loss : std::uint8_t {
    /// Its connection broke: it was running at the crash, if there was one.
    connection_broke,
    /// Its deadline passed or its caller left, and its connection was closed.
    given_up
};

struct crash_detector {
    quarantine request_quarantine;

    struct lost_request {
        in_flight_request request;
        request_loss loss{request_loss::connection_broke};
        instant sent_at;
        instant lost_at;
    };

    /// Requests without an answer, after which no request was sent
    /// that the upstream has answered.
    std::vector<lost_request> lost_requests;
    /// Lost requests older than this aren't counted at a crash: an earlier
    /// connection loss is unrelated to it.
    duration loss_window{std::chrono::seconds{15}};
};

/// Records that the upstream was sent the request at `sent` and didn't answer
/// it.
void note_lost_request(
    crash_detector& detector,
    const in_flight_request& request,
    request_loss loss,
    instant sent,
    instant now
);

/// Records that the upstream answered a request that was sent at `sent`. So it
/// ran after all losses before `sent`; later ones may still be due to a crash,
/// as an answer from before the crash may be read after them.
void note_answered(crash_detector& detector, instant sent);

/// Records that the upstream ran request `id` without an error, which shows
/// that the request doesn't crash each upstream. Returns the reports for the
/// other daemons.
[[nodiscard]] std::vector<crash_report> note_completed(
    crash_detector& detector, const request_identity& id, instant now
);

/// Records that the upstream is down or has restarted: the requests lost since
/// it last was known to run were in flight at a crash. Returns the reports for
/// the other daemons; empty if the same crash is reported again.
[[nodiscard]] std::vector<crash_report>
note_crash(crash_detector& detector, instant now);

} // namespace apricotstile::upstream

#endif

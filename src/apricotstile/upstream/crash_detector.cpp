// Keeps the requests lost between the last answer and a detected crash.

#include <apricotstile/upstream/crash_detector.hpp>

#include <algorithm>
#include <utility>

namespace apricotstile::upstream {

namespace {

using lost_requests = std::vector<crash_detector::lost_request>;

bool broke(const crash_detector::lost_request& one) {
    return one.loss == request_loss::connection_broke;
}

/// The connection of a request that ended before another one was sent broke for
/// another reason than the crash.
void mark_broken_at_crash(lost_requests& lost) {
    instant last_sent;
    for (const crash_detector::lost_request& one : lost) {
        if (broke(one)) {
            last_sent = std::max(last_sent, one.sent_at);
        }
    }
    for (crash_detector::lost_request& one : lost) {
        one.request.running = broke(one) && one.lost_at > last_sent;
    }
}

/// The upstream fell silent while the first request without an answer was
/// running.
void mark_beside_first(lost_requests& lost) {
    const auto first = std::min_element(
        lost.begin(),
        lost.end(),
        [](const auto& left, const auto& right) {
            return left.sent_at < right.sent_at;
        }
    );
    const instant first_end = first->lost_at;
    for (crash_detector::lost_request& one : lost) {
        one.request.running = one.sent_at < first_end;
    }
}

/// Sets which requests were running at the crash.
void mark_running(lost_requests& lost) {
    if (std::any_of(lost.begin(), lost.end(), broke)) {
        mark_broken_at_crash(lost);
    } else if (!lost.empty()) {
        mark_beside_first(lost);
    }
}

} // namespace

void note_lost_request(
    crash_detector& detector,
    const in_flight_request& request,
    request_loss loss,
    instant sent,
    instant now
) {
    std::erase_if(
        detector.lost_requests,
        [&](const crash_detector::lost_request& one) {
            return now - one.lost_at > detector.loss_window;
        }
    );
    detector.lost_requests.push_back({request, loss, sent, now});
}

void note_answered(crash_detector& detector, instant sent) {
    std::erase_if(
        detector.lost_requests,
        [sent](const crash_detector::lost_request& one) {
            return one.lost_at < sent;
        }
    );
}

std::vector<crash_report> note_completed(
    crash_detector& detector, const request_identity& id, instant now
) {
    return completed(detector.request_quarantine, id, now);
}

std::vector<crash_report> note_crash(crash_detector& detector, instant now) {
    lost_requests lost = std::move(detector.lost_requests);
    detector.lost_requests.clear();
    std::erase_if(lost, [&](const crash_detector::lost_request& one) {
        return now - one.lost_at > detector.loss_window;
    });
    mark_running(lost);
    std::vector<in_flight_request> in_flight;
    for (const crash_detector::lost_request& one : lost) {
        in_flight.push_back(one.request);
    }
    if (in_flight.empty()) {
        return {};
    }
    return upstream_crashed(detector.request_quarantine, in_flight, now);
}

} // namespace apricotstile::upstream

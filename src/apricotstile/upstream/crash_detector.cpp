// Keeps the requests lost between the last answer and a detected crash.

#include <apricotstile/upstream/crash_detector.hpp>

namespace apricotstile::upstream {

void note_lost_request(
    crash_detector& detector, const in_flight_request& request, instant now
) {
    std::erase_if(
        detector.lost_requests,
        [&](const crash_detector::lost_request& one) {
            return now - one.lost_at > detector.loss_window;
        }
    );
    detector.lost_requests.push_back({request, now});
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
    std::vector<in_flight_request> in_flight;
    for (const crash_detector::lost_request& one : detector.lost_requests) {
        if (now - one.lost_at <= detector.loss_window) {
            in_flight.push_back(one.request);
        }
    }
    detector.lost_requests.clear();
    if (in_flight.empty()) {
        return {};
    }
    return upstream_crashed(detector.request_quarantine, in_flight, now);
}

} // namespace apricotstile::upstream

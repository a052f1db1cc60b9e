// Keeps the requests lost between the last answer and a detected crash.

#include <apricotstile/upstream/crash_watch.hpp>

namespace apricotstile::upstream {

void note_lost(crash_watch& watch, const crash_witness& witness, instant now) {
    watch.lost_requests.push_back({witness, now});
}

std::vector<suspicion_report>
note_answered(crash_watch& watch, fingerprint id, instant now) {
    watch.lost_requests.clear();
    return completed(watch.suspects, id, now);
}

std::vector<suspicion_report> note_down(crash_watch& watch, instant now) {
    std::vector<crash_witness> in_flight;
    for (const crash_watch::lost_request& one : watch.lost_requests) {
        if (now - one.lost_at <= watch.loss_window) {
            in_flight.push_back(one.witness);
        }
    }
    watch.lost_requests.clear();
    if (in_flight.empty()) {
        return {};
    }
    return upstream_crashed(watch.suspects, in_flight, now);
}

} // namespace apricotstile::upstream

// Tells a crash of the upstream beside a daemon from single lost answers, and
// blames what was in flight. Answers requests that crash each upstream that
// runs them, among innocent ones that a crash takes along, and connections that
// are reset while the upstream lives.

#ifndef APRICOTSTILE_UPSTREAM_CRASH_WATCH_HPP
#define APRICOTSTILE_UPSTREAM_CRASH_WATCH_HPP

#include <apricotstile/upstream/quarantine.hpp>

#include <vector>

namespace apricotstile::upstream {

struct crash_watch {
    quarantine suspects;

    struct lost_request {
        crash_witness witness;
        instant at;
    };

    /// Requests whose connections broke since the upstream last answered.
    std::vector<lost_request> lost;
    /// A loss longer ago has nothing to do with a crash that shows now.
    duration memory{std::chrono::seconds{15}};
};

/// The connection of a request broke while the upstream worked on it.
void note_lost(crash_watch& watch, const crash_witness& witness, instant now);

/// The upstream has answered request `id`, so it lives. Returns what to report.
[[nodiscard]] std::vector<suspicion_report>
note_answered(crash_watch& watch, fingerprint id, instant now);

/// The upstream is certainly down, or another life of it is there: what was
/// lost since its last answer was in flight. Returns what to report; nothing
/// when a crash is shown again.
[[nodiscard]] std::vector<suspicion_report>
note_down(crash_watch& watch, instant now);

} // namespace apricotstile::upstream

#endif

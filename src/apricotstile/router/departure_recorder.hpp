// Tells when a departure that the local instance has announced may be
// acknowledged: its entry is in the shared table. Peers are asked to keep it
// while the table is away, so that the next run of this daemon knows it, but
// their copies don't survive the loss of all processes.

#ifndef APRICOTSTILE_ROUTER_DEPARTURE_RECORDER_HPP
#define APRICOTSTILE_ROUTER_DEPARTURE_RECORDER_HPP

#include <apricotstile/net/timer_queue.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace apricotstile::router {

class departure_recorder {
public:
    /// Gets whether the departure is recorded; false if it wasn't in time.
    using handler = std::function<void(bool recorded)>;

    /// `ask_peers` asks peers to keep the daemon's departures. It is called if
    /// the table takes long.
    departure_recorder(
        net::timer_queue& timers, std::function<void()> ask_peers
    );
    departure_recorder(const departure_recorder&) = delete;
    departure_recorder& operator=(const departure_recorder&) = delete;
    ~departure_recorder() = default;

    /// A departure is in the daemon's entry from this revision on.
    void expect(std::uint64_t revision);
    /// The table has the entry of this revision.
    void note_recorded(std::uint64_t revision);
    [[nodiscard]] bool is_recorded() const;
    /// Calls `done` once: immediately if all departures are recorded, or else
    /// when they are, or when that takes too long.
    void when_recorded(handler done);

private:
    void finish(bool recorded);

    net::timer_queue& timers;
    std::function<void()> ask_peers;
    std::uint64_t expected_revision{0};
    std::uint64_t recorded_revision{0};
    std::vector<handler> waiting;
};

} // namespace apricotstile::router

#endif

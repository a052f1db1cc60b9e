// Waits for the table, which answers within milliseconds when it is there.

#include <apricotstile/router/departure_recorder.hpp>

#include <utility>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

/// How long the table may take before peers are asked.
constexpr duration table_timeout = 200ms;

/// An instance repeats an announcement that isn't acknowledged within 1 s.
constexpr duration recording_timeout = 800ms;

} // namespace

departure_recorder::departure_recorder(
    net::timer_queue& timers, std::function<void()> ask_peers
)
    : timers(timers), ask_peers(std::move(ask_peers)) {}

void departure_recorder::expect(std::uint64_t revision) {
    this->expected_revision = revision;
}

void departure_recorder::note_recorded(std::uint64_t revision) {
    if (revision <= this->recorded_revision) {
        return;
    }
    this->recorded_revision = revision;
    if (this->is_recorded()) {
        this->finish(true);
    }
}

bool departure_recorder::is_recorded() const {
    return this->recorded_revision >= this->expected_revision;
}

void departure_recorder::when_recorded(handler done) {
    if (this->is_recorded()) {
        done(true);
        return;
    }
    this->waiting.push_back(std::move(done));
    const std::uint64_t revision = this->expected_revision;
    this->timers.after(table_timeout, [this, revision] {
        if (this->recorded_revision < revision) {
            this->ask_peers();
        }
    });
    this->timers.after(recording_timeout, [this, revision] {
        if (this->recorded_revision < revision) {
            this->finish(false);
        }
    });
}

void departure_recorder::finish(bool recorded) {
    for (const handler& done : std::exchange(this->waiting, {})) {
        done(recorded);
    }
}

} // namespace apricotstile::router

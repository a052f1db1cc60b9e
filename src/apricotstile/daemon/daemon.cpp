// Construction, start and graceful stop of a daemon.

#include <apricotstile/daemon/daemon.hpp>

#include <apricotstile/daemon/control_duty.hpp>
#include <apricotstile/daemon/dispatch_duty.hpp>
#include <apricotstile/daemon/ingress_duty.hpp>
#include <apricotstile/daemon/internal/peer_presence.hpp>
#include <apricotstile/daemon/link_duty.hpp>
#include <apricotstile/daemon/operators_duty.hpp>
#include <apricotstile/daemon/store_duty.hpp>
#include <apricotstile/log/logger.hpp>

#include <array>
#include <thread>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;

constexpr duration longest_drain = 60s;
constexpr duration longest_release = 20s;
constexpr auto drain_poll_interval = 20ms;
constexpr auto log_prefix = "daemon";

/// Whether another member could take this daemon's slices.
bool can_release(const published_state& state) {
    const auto view = state.view.load();
    return internal::others_active(view->members, view->self.host);
}

} // namespace

struct daemon::parts {
    parts(
        const settings::daemon_settings& settings,
        std::function<void()> on_drain
    )
        : ingress(
              {settings.listen.callers,
               settings.host,
               state,
               links.messages,
               dispatch.messages,
               control.messages,
               shares}
          ),
          links(
              {settings.listen.peers,
               settings.peers_key,
               state,
               ingress.messages,
               dispatch.messages,
               control.messages}
          ),
          dispatch(
              {settings.listen.upstreams,
               settings.fencing_of,
               state,
               links.messages,
               ingress.messages,
               control.messages}
          ),
          control(
              {settings,
               state,
               store.messages,
               links.messages,
               dispatch.messages,
               ingress.messages,
               shares,
               [this](const control::apply_settled& settled) {
                   this->operators.apply_settled(settled);
               }}
          ),
          store(settings.platform, control.messages),
          operators(
              {settings.listen.operators,
               settings.operators_token,
               state,
               {&ingress, &links, &dispatch, &control, &store},
               control,
               std::move(on_drain)}
          ) {}

    /// In an order in which each duty's inbox is open before others push.
    [[nodiscard]] std::array<duty*, 6> in_starting_order() {
        return {
            &this->store,
            &this->control,
            &this->dispatch,
            &this->links,
            &this->ingress,
            &this->operators};
    }

    published_state state;
    share_gate shares;
    ingress_duty ingress;
    link_duty links;
    dispatch_duty dispatch;
    control_duty control;
    store_duty store;
    operators_duty operators;
};

daemon::daemon(
    const settings::daemon_settings& settings, std::function<void()> on_drain
)
    : self(std::make_unique<parts>(settings, std::move(on_drain))) {}

daemon::~daemon() = default;

void daemon::start() {
    for (duty* const one : this->self->in_starting_order()) {
        one->start();
    }
    log::write(log::level::info, log_prefix, "Started.");
}

void daemon::drain_and_stop() {
    log::write(log::level::info, log_prefix, "Draining.");
    this->self->state.draining = true;
    const instant end = boot_clock::now() + longest_drain;
    const instant release_end = boot_clock::now() + longest_release;
    this->self->control.messages.push(drain_order{});
    // Requests are still routed while slices pass to others.
    while (boot_clock::now() < release_end && !this->self->control.has_left() &&
           can_release(this->self->state)) {
        std::this_thread::sleep_for(drain_poll_interval);
    }
    if (!this->self->control.has_left()) {
        log::write(
            log::level::warning,
            log_prefix,
            can_release(this->self->state)
                ? "Slices were not released in time; leases run out instead."
                : "No active member is left to take slices; leases run out."
        );
    }
    this->self->ingress.drain();
    while (boot_clock::now() < end &&
           this->self->ingress.waiting() + this->self->dispatch.unfinished() > 0
    ) {
        std::this_thread::sleep_for(drain_poll_interval);
    }
    const auto order = this->self->in_starting_order();
    for (auto one = order.rbegin(); one != order.rend(); ++one) {
        (*one)->stop();
    }
    log::write(log::level::info, log_prefix, "Stopped.");
}

} // namespace apricotstile::daemon

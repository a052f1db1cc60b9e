// The customers' shares of this daemon's ingress. The ingress duty asks it for
// each request, the control duty claims shares and brings grants.

#ifndef APRICOTSTILE_DAEMON_SHARE_GATE_HPP
#define APRICOTSTILE_DAEMON_SHARE_GATE_HPP

#include <apricotstile/plan/plan_book.hpp>
#include <apricotstile/share/ingress.hpp>

#include <memory>
#include <mutex>
#include <vector>

namespace apricotstile::daemon {

class share_gate {
public:
    /// The lists in force from now on.
    void set_book(std::shared_ptr<const plan::plan_book> book);
    void set_self(const member::member_ref& self);

    /// Decides on one request of a caller. Refuses everything while no lists
    /// are in force.
    [[nodiscard]] share::admission
    admit(const share::admission_request& request, instant now);
    /// Ends an admitted request, exactly once.
    void finish(const customer_id& customer);
    /// The version in force; zero for none.
    [[nodiscard]] plan_version version() const;
    [[nodiscard]] std::size_t customers() const;

    [[nodiscard]] std::vector<share::ingress_action> step(
        const share::ingress_event& event,
        const share::owner_lookup& owner_of,
        instant now
    );

private:
    mutable std::mutex mutex;
    /// Guarded by `mutex`, like `state`.
    std::shared_ptr<const plan::plan_book> book;
    share::ingress_state state;
};

} // namespace apricotstile::daemon

#endif

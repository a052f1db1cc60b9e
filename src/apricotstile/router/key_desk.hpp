// The keys of the service beside this daemon: runs the keeper's decisions
// against the platform's table.

#ifndef APRICOTSTILE_ROUTER_KEY_DESK_HPP
#define APRICOTSTILE_ROUTER_KEY_DESK_HPP

#include <apricotstile/host/address.hpp>
#include <apricotstile/keys/keeper.hpp>
#include <apricotstile/keys/takeover.hpp>
#include <apricotstile/net/timer_queue.hpp>
#include <apricotstile/platform/shared_table.hpp>

#include <functional>

namespace apricotstile::router {

class key_desk {
public:
    /// The members as this daemon sees them now.
    using view_source = std::function<keys::takeover_view()>;
    /// Work at the instance for each slot.
    using pressure_source = std::function<double()>;

    key_desk(
        keys::keeper keeper,
        platform::shared_table& table,
        net::timer_queue& timers,
        view_source view,
        pressure_source pressure
    );
    key_desk(const key_desk&) = delete;
    key_desk& operator=(const key_desk&) = delete;
    ~key_desk() = default;

    [[nodiscard]] keys::heartbeat_answer
    take_heartbeat(const keys::heartbeat& beat);
    /// The instance leaves: its keys go to others.
    void start_departure();
    /// The instance is silent or gone; its keys go to others once its last
    /// grant has run out.
    void instance_left();
    [[nodiscard]] bool may_dispatch(keys::key_number key) const;
    void count_request(keys::key_number key);
    /// A change of the map's row.
    void take_map(const platform::row& row);
    [[nodiscard]] const keys::keeper& state() const;

private:
    void pump();
    void submit(const platform::transaction& work);
    void read_rows();
    void watch();
    void balance();
    void release(const std::vector<keys::move>& moves, const char* why);

    keys::keeper keeper;
    keys::takeover_policy policy;
    platform::shared_table& table;
    net::timer_queue& timers;
    view_source view;
    pressure_source pressure;
    keys::key_load load;
    bool departing{false};
    bool reading{false};
    instant last_read;
    instant last_move;
    /// Moving mean of the pressure.
    double mean_pressure{0};
    instant retry_at;
};

} // namespace apricotstile::router

#endif

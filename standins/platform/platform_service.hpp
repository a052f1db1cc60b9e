// What the platform stand-in does with a call: its effect on the table and
// the objects, and how and when it is answered.

#ifndef APRICOTSTILE_STANDINS_PLATFORM_PLATFORM_SERVICE_HPP
#define APRICOTSTILE_STANDINS_PLATFORM_PLATFORM_SERVICE_HPP

#include <standins/platform/platform_faults.hpp>
#include <standins/platform/rate_limit.hpp>
#include <standins/platform/stored_table.hpp>
#include <standins/support/http_message.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace apricotstile::standins {

struct platform_stats {
    std::uint64_t writes{0};
    std::uint64_t conflicts{0};
    std::uint64_t reads{0};
    std::uint64_t bytes_read{0};
    std::uint64_t bytes_written{0};
    std::uint64_t over_rate{0};
    std::uint64_t refused_while_down{0};
    std::uint64_t answers_lost{0};
};

/// A write whose answer was lost before it took effect.
struct late_write {
    instant due{};
    platform::transaction work;
};

struct platform_service {
    stored_table table;
    std::map<std::string, std::string> objects;
    platform_faults faults;
    rate_limit write_limit;
    rate_limit read_limit;
    platform_stats stats;
    /// In order of arrival.
    std::deque<late_write> late_writes;
};

enum class delivery : std::uint8_t {
    answered,
    /// The connection closes without an answer.
    connection_closed,
    /// Nothing happens on the connection.
    never
};

struct planned_reply {
    delivery how{delivery::answered};
    http_reply reply;
    /// How long after the call.
    duration delay{0};
};

/// Performs one call. Late writes that are due take effect first.
[[nodiscard]] planned_reply
handle(platform_service& service, const http_request& request, instant now);

/// Applies the late writes that are due.
void apply_late_writes(platform_service& service, instant now);

} // namespace apricotstile::standins

#endif

// How old this daemon's copy of a part of the shared table is, and when to read
// the part again.

#ifndef APRICOTSTILE_ROUTER_TABLE_VIEW_HPP
#define APRICOTSTILE_ROUTER_TABLE_VIEW_HPP

#include <apricotstile/core/time.hpp>

#include <cstdint>
#include <optional>

namespace apricotstile::router {

struct table_view {
    /// When the last read was requested.
    instant requested_at;
    /// When the last read that was answered was requested; the copy is at most
    /// as old as this, apart from changes that peers have sent since.
    std::optional<instant> confirmed_at;
    bool last_read_failed{false};
};

/// What the result of a read changes.
enum class view_change : std::uint8_t { none, lost, regained };

/// Whether to read: `interval` after the last read, or `retry_interval` if it
/// failed or none has been answered yet.
[[nodiscard]] bool is_due(
    const table_view& view,
    duration interval,
    duration retry_interval,
    instant now
);

void note_request(table_view& view, instant now);

/// `requested_at` is when the read that has ended was requested.
view_change note_result(table_view& view, bool answered, instant requested_at);

/// Nothing until a read has been answered.
[[nodiscard]] std::optional<duration>
age_of(const table_view& view, instant now);

} // namespace apricotstile::router

#endif

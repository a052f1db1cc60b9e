// Read times of a part of the table.

#include <apricotstile/router/table_view.hpp>

#include <algorithm>

namespace apricotstile::router {

bool is_due(
    const table_view& view,
    duration interval,
    duration retry_interval,
    instant now
) {
    const bool is_current = view.confirmed_at && !view.last_read_failed;
    return now - view.requested_at > (is_current ? interval : retry_interval);
}

void note_request(table_view& view, instant now) {
    view.requested_at = now;
}

view_change note_result(table_view& view, bool answered, instant requested_at) {
    const bool failed_before = view.last_read_failed;
    view.last_read_failed = !answered;
    if (!answered) {
        return failed_before ? view_change::none : view_change::lost;
    }
    view.confirmed_at =
        std::max(view.confirmed_at.value_or(requested_at), requested_at);
    return failed_before ? view_change::regained : view_change::none;
}

std::optional<duration> age_of(const table_view& view, instant now) {
    if (!view.confirmed_at) {
        return std::nullopt;
    }
    return now - *view.confirmed_at;
}

} // namespace apricotstile::router

// The ticket that a caller's Idempotency-Key is first sent under. It lets an
// owner tell a key that it can't have met from one that it has forgotten.

#ifndef APRICOTSTILE_REQUEST_TICKET_HPP
#define APRICOTSTILE_REQUEST_TICKET_HPP

#include <apricotstile/core/ids.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace apricotstile::request {

/// In place of a ticket: the caller wants one, and no work.
constexpr std::string_view ticket_wanted = "issue";

/// Issued by a slice's owner. It holds nothing secret: a caller that alters
/// its ticket endangers only its own requests.
struct ticket {
    slice_id slice;
    /// The token that the issuing owner held.
    fencing_token token;
    /// Since the issuing owner opened the slice, on that owner's clock.
    std::chrono::milliseconds issued{0};

    friend bool operator==(const ticket&, const ticket&) = default;
};

/// The text for the header Apricotstile-Ticket, as "1.SLICE.TOKEN.ISSUED".
[[nodiscard]] std::string to_text(const ticket& value);

/// The ticket in `text`, or nothing when it isn't exactly one.
[[nodiscard]] std::optional<ticket> parse_ticket(std::string_view text);

} // namespace apricotstile::request

#endif

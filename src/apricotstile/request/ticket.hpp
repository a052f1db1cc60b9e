// The ticket that a caller sends with an Idempotency-Key. It lets an owner
// tell a key that has never run from one whose record was evicted or lost.

#ifndef APRICOTSTILE_REQUEST_TICKET_HPP
#define APRICOTSTILE_REQUEST_TICKET_HPP

#include <apricotstile/core/ids.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace apricotstile::request {

/// Sent in place of a ticket to request one; no request is run.
constexpr std::string_view ticket_wanted = "issue";

/// Issued by a slice's owner. It contains no secret and isn't signed: a caller
/// that changes its ticket affects only its own requests.
struct ticket {
    slice_id slice;
    /// The token that the issuing owner held.
    fencing_token token;
    /// Time since the issuing owner opened the slice, by that owner's clock.
    std::chrono::milliseconds issued{0};

    friend bool operator==(const ticket&, const ticket&) = default;
};

/// The value of the header Apricotstile-Ticket, as "1.SLICE.TOKEN.ISSUED" with
/// 1 as the format version.
[[nodiscard]] std::string to_text(const ticket& value);

/// Parses a ticket; empty unless `text` is exactly what `to_text` returns.
[[nodiscard]] std::optional<ticket> parse_ticket(std::string_view text);

} // namespace apricotstile::request

#endif

// Writes of a member's own row. Other daemons write this row only to depose the
// member. Each write is conditional on the last confirmed version, one write is
// in flight at a time, and an unknown outcome is resolved by reading the row.

#ifndef APRICOTSTILE_MEMBER_OWN_ROW_HPP
#define APRICOTSTILE_MEMBER_OWN_ROW_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/member/member_row.hpp>
#include <apricotstile/platform/operations.hpp>

#include <optional>

namespace apricotstile::member {

struct pending_write {
    member_record record;
    /// When it was first submitted; not changed by a retry.
    instant first_submitted;
    /// The call in flight; zero while the row is read to learn the outcome.
    platform::operation_id operation;
    /// Whether an attempt may have taken effect or may still do so.
    bool uncertain{false};
};

/// Invariant: while a write is pending, the table's record of this incarnation
/// is either `confirmed` or `pending->record`, unless it was deposed.
struct own_row {
    member_row confirmed;
    std::optional<pending_write> pending;
    /// The read in flight; zero if none.
    platform::operation_id read;
    /// The row may differ from `confirmed` and must be read.
    bool must_read{false};
};

enum class row_change : std::uint8_t {
    /// Nothing changed.
    none,
    /// The row was confirmed at a newer version.
    confirmed,
    /// This incarnation owns nothing any more.
    ended
};

/// A transaction that writes `record` if the row still has `version`.
[[nodiscard]] platform::transaction
conditional_write(const member_record& record, platform::row_version version);

/// Starts the write of `record`, or retries the pending one. Requires that no
/// write is in flight and, for a retry, that `record` is the pending record.
[[nodiscard]] platform::submit_transaction submit_write(
    own_row& row,
    const member_record& record,
    platform::operation_id operation,
    instant now
);

/// Handles the result of the pending write. Ignores results of other
/// operations.
[[nodiscard]] row_change
handle_commit(own_row& row, const platform::transaction_done& done);

/// Handles the row as read from the table or received from a peer.
[[nodiscard]] row_change handle_row(own_row& row, const member_row& seen);

} // namespace apricotstile::member

#endif

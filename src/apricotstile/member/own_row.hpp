// The one row that a member writes: its own. Each write is conditional on the
// version last confirmed, one write is in flight at a time, and a write whose
// answer was lost is settled by reading the row.

#ifndef APRICOTSTILE_MEMBER_OWN_ROW_HPP
#define APRICOTSTILE_MEMBER_OWN_ROW_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/member/member_row.hpp>
#include <apricotstile/platform/operations.hpp>

#include <optional>

namespace apricotstile::member {

struct pending_write {
    member_record record;
    /// When it was first sent; a repetition doesn't move it.
    instant first_submitted;
    /// The call in flight; zero while the outcome is being read.
    platform::operation_id operation;
    /// An attempt may have taken effect or still take effect.
    bool uncertain{false};
};

/// While a write is pending, the table holds either `confirmed` or
/// `pending->record`, and no third record of this incarnation.
struct own_row {
    member_row confirmed;
    std::optional<pending_write> pending;
    /// The read in flight; zero when none.
    platform::operation_id read;
    /// Something shows that the row differs from `confirmed`.
    bool must_read{false};
};

enum class row_news : std::uint8_t {
    /// Nothing changed.
    none,
    /// The row was confirmed at a newer version.
    confirmed,
    /// This incarnation owns nothing any more.
    over
};

/// The transaction that writes `record` where the row has `version`.
[[nodiscard]] platform::transaction
conditional_write(const member_record& record, platform::row_version version);

/// Starts or repeats the write of `record`. Only while none is in flight; a
/// repetition must carry the pending record.
[[nodiscard]] platform::submit_transaction submit_write(
    own_row& row,
    const member_record& record,
    platform::operation_id operation,
    instant now
);

/// Takes the result of the pending write; ignores other operations' results.
[[nodiscard]] row_news
take_commit(own_row& row, const platform::transaction_done& done);

/// Takes any sighting of the row, from the table or from a peer.
[[nodiscard]] row_news take_sighting(own_row& row, const member_row& seen);

} // namespace apricotstile::member

#endif

// Table reads and writes for depositions.

#ifndef APRICOTSTILE_LEASE_INTERNAL_DEPOSER_TABLE_HPP
#define APRICOTSTILE_LEASE_INTERNAL_DEPOSER_TABLE_HPP

#include <apricotstile/lease/internal/deposer.hpp>

namespace apricotstile::lease {

/// Number of suspects whose rows must be read.
[[nodiscard]] std::size_t count_unread(const deposition_state& state);

/// Reads the row of a single suspect, or all members' rows when several
/// suspects are unread or rows are watched.
void start_read(
    deposition_state& state,
    bool watch_table,
    operation_counter& operations,
    const policy& limits,
    instant now,
    actions& out
);

/// Deposes, in one transaction, the suspects for which enough guardians have
/// consented and the watched members that haven't renewed for one lease.
void start_commit(
    deposition_state& state,
    operation_counter& operations,
    const policy& limits,
    instant now,
    actions& out
);

} // namespace apricotstile::lease

#endif

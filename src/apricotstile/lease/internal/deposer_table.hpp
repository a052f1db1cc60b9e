// The deposer's calls to the table.

#ifndef APRICOTSTILE_LEASE_INTERNAL_DEPOSER_TABLE_HPP
#define APRICOTSTILE_LEASE_INTERNAL_DEPOSER_TABLE_HPP

#include <apricotstile/lease/internal/deposer.hpp>

namespace apricotstile::lease {

/// Suspects whose rows must be read.
[[nodiscard]] std::size_t count_unread(const deposer& state);

/// Reads the suspects' rows, or all rows when several are wanted or watched.
void start_read(
    deposer& state,
    bool watches,
    operation_counter& operations,
    const policy& limits,
    instant now,
    actions& out
);

/// Deposes the suspects that two guardians gave up, and the watched rows that
/// weren't renewed for a lease, in one transaction.
void start_commit(
    deposer& state,
    operation_counter& operations,
    const policy& limits,
    instant now,
    actions& out
);

} // namespace apricotstile::lease

#endif

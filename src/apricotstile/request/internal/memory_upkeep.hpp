// Eviction and accounting of records in the owner's memory.

#ifndef APRICOTSTILE_REQUEST_INTERNAL_MEMORY_UPKEEP_HPP
#define APRICOTSTILE_REQUEST_INTERNAL_MEMORY_UPKEEP_HPP

#include <apricotstile/request/owner_memory.hpp>

namespace apricotstile::request::internal {

/// Bytes that `record` counts towards the limit on kept answers.
[[nodiscard]] std::size_t kept_bytes(const memory_record& record);

/// Returns `answer`, or `unknown` if it is too large to keep or the limit on
/// all kept answers is reached.
[[nodiscard]] kept_answer
limit_kept_answer(owner_memory& memory, const kept_answer& answer);

void forget_expired(owner_memory& memory, slice_memory& slice, instant now);

/// Removes the first finished record in some slice. Used only by an injected
/// fault.
void evict_oldest(owner_memory& memory);

/// Subtracts the records of `slice` from the totals before it is removed.
void subtract_from_totals(owner_memory& memory, const slice_memory& slice);

} // namespace apricotstile::request::internal

#endif

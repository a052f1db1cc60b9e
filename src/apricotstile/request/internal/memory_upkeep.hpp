// Forgetting and accounting inside the owner's memory.

#ifndef APRICOTSTILE_REQUEST_INTERNAL_MEMORY_UPKEEP_HPP
#define APRICOTSTILE_REQUEST_INTERNAL_MEMORY_UPKEEP_HPP

#include <apricotstile/request/owner_memory.hpp>

namespace apricotstile::request::internal {

/// Bytes that `record` counts against the bound on kept answers.
[[nodiscard]] std::size_t kept_bytes(const memory_record& record);

/// `answer`, or `unknown` in its place when it is too long to keep.
[[nodiscard]] kept_answer
what_to_keep(owner_memory& memory, const kept_answer& answer);

void forget_expired(owner_memory& memory, slice_memory& slice, instant now);

/// Drops the first record to expire; used by a seeded fault alone.
void forget_oldest(owner_memory& memory);

/// Takes what `slice` holds off the totals, before it is dropped.
void discount(owner_memory& memory, const slice_memory& slice);

} // namespace apricotstile::request::internal

#endif

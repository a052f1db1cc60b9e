// Bytes that are counted in a memory budget wherever they are passed on to.

#ifndef APRICOTSTILE_SERVING_HELD_BYTES_HPP
#define APRICOTSTILE_SERVING_HELD_BYTES_HPP

#include <apricotstile/core/shared_bytes.hpp>

namespace apricotstile::serving {

struct memory_budget;

/// The same bytes, whose memory stays reserved in `budget` until their last
/// owner has dropped them. `budget` must outlive them.
[[nodiscard]] shared_bytes
hold(const shared_bytes& bytes, memory_budget& budget);

} // namespace apricotstile::serving

#endif

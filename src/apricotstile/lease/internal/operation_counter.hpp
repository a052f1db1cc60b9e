// Assigns operation ids to one participant's calls to the platform.

#ifndef APRICOTSTILE_LEASE_INTERNAL_OPERATION_COUNTER_HPP
#define APRICOTSTILE_LEASE_INTERNAL_OPERATION_COUNTER_HPP

#include <apricotstile/platform/operations.hpp>

namespace apricotstile::lease {

struct operation_counter {
    platform::operation_id last;
};

[[nodiscard]] inline platform::operation_id
next_operation(operation_counter& counter) {
    counter.last = next(counter.last);
    return counter.last;
}

} // namespace apricotstile::lease

#endif

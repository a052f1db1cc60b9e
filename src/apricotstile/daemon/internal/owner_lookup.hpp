// Finds the host that a request goes to.

#ifndef APRICOTSTILE_DAEMON_INTERNAL_OWNER_LOOKUP_HPP
#define APRICOTSTILE_DAEMON_INTERNAL_OWNER_LOOKUP_HPP

#include <apricotstile/daemon/routing_view.hpp>
#include <apricotstile/request/outcome.hpp>

#include <string>

namespace apricotstile::daemon::internal {

struct owner_result {
    request::refusal refusal{request::refusal::none};
    host_id host;
    slice_id slice;
    assignment::slice_assignment assignment;
};

/// The owner of `key` in `view`, or why there is none.
[[nodiscard]] owner_result find_owner(
    const routing_view& view, const service_id& service, const std::string& key
);

} // namespace apricotstile::daemon::internal

#endif

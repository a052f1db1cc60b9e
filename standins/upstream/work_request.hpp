// Work as the daemon sends it: HTTP with Apricotstile headers.

#ifndef APRICOTSTILE_STANDINS_UPSTREAM_WORK_REQUEST_HPP
#define APRICOTSTILE_STANDINS_UPSTREAM_WORK_REQUEST_HPP

#include <standins/support/echoed_request.hpp>
#include <standins/support/http_message.hpp>
#include <standins/upstream/upstream_service.hpp>
#include <standins/upstream/work_item.hpp>

namespace apricotstile::standins {

/// A body that holds this text brings the upstream down.
constexpr std::string_view poison_marker = "poison-pill";

/// Reads the headers; throws std::invalid_argument when a number is missing
/// or malformed.
[[nodiscard]] work_item
parse_work(const http_request& request, work_id id, instant now);

[[nodiscard]] echoed_request
echo_of(const work_item& item, const std::string& body);

/// A refusal that says that the work certainly did not run.
[[nodiscard]] http_reply
not_run_reply(unsigned status, std::string_view reason);

/// The answer to work that did not run.
[[nodiscard]] http_reply reply_to(const work_refused& refused);

} // namespace apricotstile::standins

#endif

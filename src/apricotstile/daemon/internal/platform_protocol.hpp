// JSON bodies of the platform's table service.

#ifndef APRICOTSTILE_DAEMON_INTERNAL_PLATFORM_PROTOCOL_HPP
#define APRICOTSTILE_DAEMON_INTERNAL_PLATFORM_PROTOCOL_HPP

#include <apricotstile/platform/transaction.hpp>

#include <string>

namespace apricotstile::daemon::internal {

/// The body of POST /table/commit.
[[nodiscard]] std::string commit_body(const platform::transaction& work);

/// Reads the answer to a commit; `unknown` when it makes no sense.
[[nodiscard]] platform::commit_result read_commit_answer(const std::string& body
);

/// Reads the answer to GET /table/rows; unanswered when it makes no sense.
[[nodiscard]] platform::read_result read_rows_answer(const std::string& body);

} // namespace apricotstile::daemon::internal

#endif

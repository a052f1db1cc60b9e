// Deposition of members whose guardians' promises have expired. Runs on the
// planner or on a deputy. Several daemons may do so concurrently: the table
// accepts a deposition only for the row version that was consented to.

#ifndef APRICOTSTILE_LEASE_INTERNAL_DEPOSER_HPP
#define APRICOTSTILE_LEASE_INTERNAL_DEPOSER_HPP

#include <apricotstile/core/time.hpp>
#include <apricotstile/lease/action.hpp>
#include <apricotstile/lease/internal/operation_counter.hpp>
#include <apricotstile/lease/message.hpp>
#include <apricotstile/lease/policy.hpp>
#include <apricotstile/member/member_row.hpp>
#include <apricotstile/platform/operations.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace apricotstile::lease {

struct suspect {
    instant last_reported;
    /// The row must be read before consent is requested.
    bool must_read{true};
    /// The row when it was last read.
    std::optional<member::member_row> row;
    /// Guardians that consented under the generation of `row`.
    std::set<member::member_ref> consented;
    /// When each guardian is asked next; immediately if absent.
    std::map<member::member_ref, instant> next_request;
};

/// The row of a member that renews its lease in the table, as last read.
struct watched_row {
    member::member_row row;
    /// When this version was first and last read.
    instant first_seen;
    instant last_seen;
};

struct deposition_state {
    std::map<member::member_ref, suspect> suspects;
    std::map<member::member_ref, watched_row> watched;

    /// The read in flight; zero if none.
    platform::operation_id read;
    instant next_read = instant::min();
    instant next_watch = instant::min();
    instant last_table_answer = instant::min();

    /// The transaction in flight; zero if none.
    platform::operation_id commit;
    std::vector<member::member_row> committing;
    instant next_commit = instant::min();
    /// When the first deposition of the batch became possible; empty if none
    /// is.
    std::optional<instant> ready_since;
    /// Halved after each conflict, because one changed row fails the whole
    /// batch.
    std::size_t batch_limit = max_deposition_batch;
};

void handle_suspicion(
    deposition_state& state,
    const suspicion& report,
    const policy& limits,
    instant now
);
void handle_consent(deposition_state& state, const consent& received);
void handle_consent_refusal(
    deposition_state& state,
    const consent_refusal& received,
    const policy& limits,
    instant now
);

/// Starts the reads, consent requests and transactions that are due. Also
/// watches rows renewed in the table if `watch_table`.
void advance(
    deposition_state& state,
    bool watch_table,
    operation_counter& operations,
    const policy& limits,
    instant now,
    actions& out
);

/// Handles the result of the read in flight and returns its rows. Ignores
/// results of other operations.
std::vector<member::member_row> handle_rows(
    deposition_state& state,
    const platform::rows_read& answer,
    const policy& limits,
    instant now
);

/// Handles the result of the transaction in flight and returns the rows that
/// it wrote. Ignores results of other operations.
std::vector<member::member_row> handle_commit(
    deposition_state& state,
    const platform::transaction_done& done,
    const policy& limits,
    instant now,
    actions& out
);

} // namespace apricotstile::lease

#endif

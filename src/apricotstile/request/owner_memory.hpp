// The owner's memory of idempotency keys: what makes non-idempotent work run
// at most once. It lives in the owner's daemon alone; a planned move hands it
// over, and after a loss what may have been forgotten is answered `unknown`.

#ifndef APRICOTSTILE_REQUEST_OWNER_MEMORY_HPP
#define APRICOTSTILE_REQUEST_OWNER_MEMORY_HPP

#include <apricotstile/request/begin_result.hpp>
#include <apricotstile/request/memory_policy.hpp>
#include <apricotstile/request/slice_handover.hpp>
#include <apricotstile/request/slice_memory.hpp>
#include <apricotstile/request/ticket.hpp>

#include <map>
#include <optional>
#include <utility>

namespace apricotstile::request {

struct routed_request;

using slice_ref = std::pair<service_id, slice_id>;

struct owner_memory {
    memory_policy policy;
    std::map<slice_ref, slice_memory> slices;
    /// Records over all slices, at most `policy.max_records` but for records
    /// that were handed over, which are always taken in.
    std::size_t records{0};
    /// Bytes of kept answers over all slices.
    std::size_t answer_bytes{0};
    /// Totals since the daemon started.
    std::uint64_t replays{0};
    std::uint64_t refused_forgotten{0};
    std::uint64_t refused_full{0};
    std::uint64_t answers_not_kept{0};
};

/// A non-idempotent request as the memory sees it.
struct keyed_request {
    service_id service;
    slice_id slice;
    /// The token that the owner holds now.
    fencing_token token;
    record_id id;
    std::uint64_t content_hash{0};
    std::optional<request::ticket> ticket;
};

/// Hash of the parts that a resend must repeat: method, key, target, body.
[[nodiscard]] std::uint64_t content_hash(const routed_request& request);

/// How an owner came to hold a slice that it opens.
enum class slice_origin : std::uint8_t {
    /// No owner before it ever ran anything; the table shows no earlier token.
    never_owned,
    /// There was an owner before. Its memory may arrive by `take_over`; until
    /// then, and for a window at most, unknown keys are in doubt.
    owned_before
};

/// Opens `slice` under `token`. Opening it again under the same token changes
/// nothing; under a newer one it drops what was remembered.
void open_slice(
    owner_memory& memory,
    const slice_ref& slice,
    fencing_token token,
    slice_origin origin,
    instant now
);

/// Stops new work before the release transaction is sent.
void freeze_slice(owner_memory& memory, const slice_ref& slice);

/// Goes on after reading that the release did not and can't take effect.
void resume_slice(owner_memory& memory, const slice_ref& slice);

/// Forgets `slice` after its owner was deposed.
void close_slice(owner_memory& memory, const slice_ref& slice);

/// Closes `slice` and returns its memory for the owner that `released_to`
/// belongs to. Call it only once the release is known to be committed. What
/// is still running is handed over as `unknown`. Empty when not open.
[[nodiscard]] std::optional<slice_handover> hand_over(
    owner_memory& memory,
    const slice_ref& slice,
    fencing_token released_to,
    instant now
);

/// Takes in the memory of the owner before. False, and no change, unless the
/// slice is open under the very token that the hand-over names and this is
/// the first one for it.
bool take_over(
    owner_memory& memory, const slice_handover& handover, instant now
);

/// A ticket for keys that are first sent after this call; empty when this
/// daemon doesn't own the slice under `token`.
[[nodiscard]] std::optional<ticket> issue_ticket(
    const owner_memory& memory,
    const slice_ref& slice,
    fencing_token token,
    instant now
);

/// Decides on `request` and, with `run_it`, remembers it as running.
[[nodiscard]] begin_result
begin(owner_memory& memory, const keyed_request& request, instant now);

/// Remembers how `request` ended; with `not_run` it is forgotten, so that a
/// resend runs. Ignored unless it is running under the same token.
void finish(
    owner_memory& memory,
    const keyed_request& request,
    const kept_answer& answer,
    instant now
);

/// Forgets what is past its window. `begin` does so for its own slice; call
/// this about once a second for the others.
void forget_expired(owner_memory& memory, instant now);

} // namespace apricotstile::request

#endif

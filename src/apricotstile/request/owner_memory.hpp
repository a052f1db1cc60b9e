// The owner's memory of idempotency keys, which ensures that non-idempotent
// requests run at most once. It is kept only in the owner's daemon. A planned
// move hands it over; after a loss, keys whose records may have been lost are
// answered with `unknown`.

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
    /// Records over all slices. At most `policy.max_records`, except that
    /// records from a handover are always added.
    std::size_t records{0};
    /// Bytes of kept answers over all slices.
    std::size_t answer_bytes{0};
    /// Totals since the daemon started.
    std::uint64_t replays{0};
    std::uint64_t refused_forgotten{0};
    std::uint64_t refused_full{0};
    std::uint64_t answers_not_kept{0};
};

/// The parts of a non-idempotent request that identify it in the memory.
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

/// Whether the slice that an owner opens had an owner before.
enum class slice_origin : std::uint8_t {
    /// No earlier owner ran any request; the table has no earlier token.
    never_owned,
    /// There was an earlier owner. Its memory may arrive by `take_over`. Until
    /// then, and for one window at most, a key without a record may have run.
    owned_before
};

/// Opens `slice` under `token`. Opening it again under the same token changes
/// nothing; under a newer one it drops the records.
void open_slice(
    owner_memory& memory,
    const slice_ref& slice,
    fencing_token token,
    slice_origin origin,
    instant now
);

/// Refuses new requests. Call before the release transaction is sent.
void freeze_slice(owner_memory& memory, const slice_ref& slice);

/// Accepts requests again, after a read has shown that the release did not and
/// can't take effect.
void resume_slice(owner_memory& memory, const slice_ref& slice);

/// Drops the records of `slice` after this daemon lost its ownership.
void close_slice(owner_memory& memory, const slice_ref& slice);

/// Closes `slice` and returns its memory for the owner that holds the token
/// `released_to`. Call it only after the release is known to be committed.
/// Running requests are handed over as `unknown`. Empty if not open under an
/// earlier token.
[[nodiscard]] std::optional<slice_handover> hand_over(
    owner_memory& memory,
    const slice_ref& slice,
    fencing_token released_to,
    instant now
);

/// Adds the memory of the previous owner. Returns false and changes nothing
/// unless the slice is open under exactly the token that the handover names
/// and no handover was applied under it before.
bool take_over(
    owner_memory& memory, const slice_handover& handover, instant now
);

/// Issues a ticket for keys that are first sent after this call. Empty if this
/// daemon doesn't own the slice under `token`.
[[nodiscard]] std::optional<ticket> issue_ticket(
    const owner_memory& memory,
    const slice_ref& slice,
    fencing_token token,
    instant now
);

/// Decides what to do with `request`; for `run_request` it is recorded as
/// running.
[[nodiscard]] begin_result
begin(owner_memory& memory, const keyed_request& request, instant now);

/// Records how `request` ended. For `not_run` the record is removed, so that a
/// resend runs. Ignored unless the request is running under the same token.
void finish(
    owner_memory& memory,
    const keyed_request& request,
    const kept_answer& answer,
    instant now
);

/// Evicts records whose window has ended. `begin` does so for its own slice;
/// call this about once per second for the others.
void forget_expired(owner_memory& memory, instant now);

} // namespace apricotstile::request

#endif

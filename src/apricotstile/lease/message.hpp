// Messages between daemons about leases. Each is sent as one datagram and may
// be lost, delayed, duplicated or reordered.
//
// A lease holder is a member that may own slices. Three other members, its
// guardians, grant the lease by promises of limited length. Once two of them
// consent, the holder may be deposed: its row in the table is marked so, and
// it owns nothing from then on. While there are too few members for guardians,
// a member renews its lease in the table instead.

#ifndef APRICOTSTILE_LEASE_MESSAGE_HPP
#define APRICOTSTILE_LEASE_MESSAGE_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/member/member_record.hpp>

#include <cstdint>
#include <variant>

namespace apricotstile::lease {

/// Sent by a holder to a guardian to obtain or extend its promise.
struct heartbeat {
    member::member_ref holder;
    /// The incarnation addressed; no other incarnation may promise.
    member::member_ref guardian;
    /// The newest generation that the table has confirmed to the holder.
    guardian_generation generation;
    /// Send time on the holder's clock; opaque to the guardian.
    std::int64_t sent_ns{0};
    /// Whether the guardian is on the confirmed list; false for a candidate.
    bool listed{true};
};

/// The guardian won't consent to depose the holder for one lease length.
struct promise {
    member::member_ref holder;
    member::member_ref guardian;
    /// Copied from `heartbeat::sent_ns`.
    std::int64_t sent_ns{0};
};

enum class refusal_reason : std::uint8_t {
    /// The guardian has consented to depose the holder under `generation`.
    consented,
    /// The addressed incarnation of the guardian no longer runs.
    not_this_incarnation,
    /// The holder was deposed, has left or was replaced by a newer
    /// incarnation.
    holder_has_ended
};

/// Answer to a heartbeat when the guardian makes no promise.
struct refusal {
    member::member_ref holder;
    /// Copied from `heartbeat::guardian`.
    member::member_ref guardian;
    refusal_reason reason{refusal_reason::consented};
    guardian_generation generation;
};

/// Tells a guardian that it is no longer on the holder's list.
struct release {
    member::member_ref holder;
    guardian_generation generation;
};

/// Reports that a guardian's promise to `holder` has expired.
struct suspicion {
    member::member_ref holder;
    guardian_generation generation;
};

/// Asks a guardian to consent to deposing `holder` under `generation`.
struct consent_request {
    member::member_ref holder;
    member::member_ref guardian;
    guardian_generation generation;
};

struct consent {
    member::member_ref holder;
    member::member_ref guardian;
    guardian_generation generation;
};

struct consent_refusal {
    member::member_ref holder;
    member::member_ref guardian;
    guardian_generation generation;
    /// Time until the guardian may consent; negative if it never will.
    std::int64_t retry_after_ns{-1};
};

using message = std::variant<
    heartbeat,
    promise,
    refusal,
    release,
    suspicion,
    consent_request,
    consent,
    consent_refusal>;

template <class Archive>
void serialize(Archive& archive, heartbeat& value) {
    archive(value.holder, value.guardian, value.generation);
    archive(value.sent_ns, value.listed);
}

template <class Archive>
void serialize(Archive& archive, promise& value) {
    archive(value.holder, value.guardian, value.sent_ns);
}

template <class Archive>
void serialize(Archive& archive, refusal& value) {
    archive(value.holder, value.guardian, value.reason, value.generation);
}

template <class Archive>
void serialize(Archive& archive, release& value) {
    archive(value.holder, value.generation);
}

template <class Archive>
void serialize(Archive& archive, suspicion& value) {
    archive(value.holder, value.generation);
}

template <class Archive>
void serialize(Archive& archive, consent_request& value) {
    archive(value.holder, value.guardian, value.generation);
}

template <class Archive>
void serialize(Archive& archive, consent& value) {
    archive(value.holder, value.guardian, value.generation);
}

template <class Archive>
void serialize(Archive& archive, consent_refusal& value) {
    archive(value.holder, value.guardian, value.generation);
    archive(value.retry_after_ns);
}

} // namespace apricotstile::lease

#endif

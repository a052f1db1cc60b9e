// What daemons tell each other about leases. Sent as single datagrams: any of
// them may be lost, late, repeated or out of order.

#ifndef APRICOTSTILE_LEASE_MESSAGE_HPP
#define APRICOTSTILE_LEASE_MESSAGE_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/member/member_record.hpp>

#include <cstdint>
#include <variant>

namespace apricotstile::lease {

/// A holder asks a guardian for its promise.
struct heartbeat {
    member::member_ref holder;
    /// The incarnation that is asked; no other may answer.
    member::member_ref guardian;
    /// The newest generation that the holder has seen confirmed.
    guardian_generation generation;
    /// When it was sent, by the holder's clock; means nothing to the guardian.
    std::int64_t sent_ns{0};
    /// Whether the guardian is on the confirmed list, or only about to be.
    bool listed{true};
};

/// The guardian won't consent to depose the holder for a lease's length.
struct promise {
    member::member_ref holder;
    member::member_ref guardian;
    /// `heartbeat::sent_ns`, returned unchanged.
    std::int64_t sent_ns{0};
};

enum class refusal_reason : std::uint8_t {
    /// The guardian has consented to depose the holder under `generation`.
    consented,
    /// The addressed incarnation of the guardian is gone.
    not_this_incarnation,
    /// The holder was deposed, left or has a newer incarnation.
    holder_is_over
};

/// The guardian promises nothing.
struct refusal {
    member::member_ref holder;
    /// The guardian as it was addressed.
    member::member_ref guardian;
    refusal_reason reason{refusal_reason::consented};
    guardian_generation generation;
};

/// The guardian is no longer on the holder's list.
struct release {
    member::member_ref holder;
    guardian_generation generation;
};

/// A guardian's promise to `holder` has run out.
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
    /// How long until it may consent; negative: never.
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

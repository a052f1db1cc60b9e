// A member's row in the platform's table: who runs on a host and which other
// members guard its lease.

#ifndef APRICOTSTILE_MEMBER_MEMBER_RECORD_HPP
#define APRICOTSTILE_MEMBER_MEMBER_RECORD_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/core/ids.hpp>
#include <apricotstile/host/location.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace apricotstile::member {

enum class member_state : std::uint8_t {
    /// May own slices.
    active,
    /// Leaves on purpose: keeps its slices until it has released them and
    /// is given no more.
    draining,
    /// Its lease was ended by others; this incarnation owns nothing and never
    /// will again.
    deposed,
    /// Left after releasing everything.
    left
};

/// Whether a member in `state` may still own slices.
[[nodiscard]] constexpr bool owns_slices(member_state state) {
    return state == member_state::active || state == member_state::draining;
}

/// One member and the incarnation meant.
struct member_ref {
    host_id host;
    apricotstile::incarnation incarnation;

    friend auto operator<=>(const member_ref&, const member_ref&) = default;
    friend bool operator==(const member_ref&, const member_ref&) = default;
};

/// A service that the upstream beside the member serves.
struct served_service {
    service_id service;
    /// How many requests the upstream takes at once.
    std::uint32_t slots{0};
    /// Whether the upstream refuses work that carries an old fencing token.
    bool checks_tokens{false};
    /// How many slices the service's keys are divided into.
    std::uint32_t slice_count{0};
    /// Whether each key has one owner that alone may serve it. Without, the
    /// slices only say who remembers non-idempotent requests.
    bool keyed{true};

    friend bool
    operator==(const served_service&, const served_service&) = default;
};

struct member_record {
    member_ref self;
    location where;
    member_state state{member_state::active};
    /// Rises with each change of `guardians`, and when a member that was
    /// suspected voids its guardians' consent.
    guardian_generation generation;
    /// Three members, or fewer while the deployment is small.
    std::vector<member_ref> guardians;
    std::vector<served_service> services;
    /// Numeric address "a.b.c.d:port" of each interface.
    std::string callers_address;
    std::string peers_address;
    std::string operators_address;

    friend bool
    operator==(const member_record&, const member_record&) = default;
};

/// The row of a host's member: "member/" and the host's number.
[[nodiscard]] inline std::string member_row_key(host_id host) {
    return "member/" + std::to_string(host.value);
}

template <class Archive>
void serialize(Archive& archive, member_ref& value) {
    archive(value.host, value.incarnation);
}

template <class Archive>
void serialize(Archive& archive, served_service& value) {
    archive(value.service, value.slots, value.checks_tokens);
    archive(value.slice_count, value.keyed);
}

template <class Archive>
void serialize(Archive& archive, member_record& value) {
    archive(value.self, value.where, value.state, value.generation);
    archive(value.guardians, value.services, value.callers_address);
    archive(value.peers_address, value.operators_address);
}

} // namespace apricotstile::member

#endif

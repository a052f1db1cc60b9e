// The record of a member in the platform's table: the daemon that runs on a
// host and the members that guard its lease.

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
    /// Is leaving: keeps its slices until it has released them and is assigned
    /// no more.
    draining,
    /// Its membership was ended by another daemon after its lease expired. This
    /// incarnation never owns anything again.
    deposed,
    /// Left after releasing everything.
    left
};

/// Whether a member in `state` may still own slices.
[[nodiscard]] constexpr bool owns_slices(member_state state) {
    return state == member_state::active || state == member_state::draining;
}

/// A member, identified by its host and incarnation.
struct member_ref {
    host_id host;
    apricotstile::incarnation incarnation;

    friend auto operator<=>(const member_ref&, const member_ref&) = default;
    friend bool operator==(const member_ref&, const member_ref&) = default;
};

/// A service that the upstream beside the member serves.
struct served_service {
    service_id service;
    /// Maximum number of concurrent requests to the upstream.
    std::uint32_t slots{0};
    /// Whether the upstream rejects requests with an outdated fencing token.
    bool checks_tokens{false};
    /// Number of slices that the service's keys are divided into.
    std::uint32_t slice_count{0};
    /// Whether each key has one owner that alone may serve it. If false, slices
    /// only determine which member remembers non-idempotent requests.
    bool keyed{true};

    friend bool
    operator==(const served_service&, const served_service&) = default;
};

struct member_record {
    member_ref self;
    location where;
    member_state state{member_state::active};
    /// Increases with each change of `guardians`, and when a suspected member
    /// invalidates the consent that its guardians gave to its deposition.
    guardian_generation generation;
    /// Three members, or none while there are too few members.
    std::vector<member_ref> guardians;
    std::vector<served_service> services;
    /// Numeric address "a.b.c.d:port" of each interface.
    std::string callers_address;
    std::string peers_address;
    std::string operators_address;

    friend bool
    operator==(const member_record&, const member_record&) = default;
};

/// Key of the row of a host's member: "member/" and the host id in decimal.
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

// The identifiers and versions that several topics share.

#ifndef APRICOTSTILE_CORE_IDS_HPP
#define APRICOTSTILE_CORE_IDS_HPP

#include <apricotstile/core/strong_id.hpp>

#include <cstdint>
#include <string>

namespace apricotstile {

/// One host's daemon: its peer address, IPv4 in the high bits and the port in
/// the low 16. Unique without any registration. Zero means "no host".
using host_id = strong_id<struct host_id_tag, std::uint64_t>;

/// One run of a daemon on a host. Rises with each join; zero means "none".
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

/// Names from the settings, for example "nl-west" and "nl-west-a".
using region_id = strong_id<struct region_id_tag, std::string>;
using failure_domain_id = strong_id<struct failure_domain_id_tag, std::string>;

/// A served system, for example "registry".
using service_id = strong_id<struct service_id_tag, std::string>;

/// One of a service's fixed number of key ranges, counted from zero.
using slice_id = strong_id<struct slice_id_tag, std::uint32_t>;

using customer_id = strong_id<struct customer_id_tag, std::string>;
using plan_id = strong_id<struct plan_id_tag, std::string>;

/// Raised with every change of a slice's owner; zero means "never owned".
using fencing_token = strong_id<struct fencing_token_tag, std::uint64_t>;

/// Rises with every change of the assignment map.
using map_version = strong_id<struct map_version_tag, std::uint64_t>;

/// Rises with every accepted change of the two lists.
using plan_version = strong_id<struct plan_version_tag, std::uint64_t>;

/// Rises with every change of a member's guardian list.
using guardian_generation =
    strong_id<struct guardian_generation_tag, std::uint64_t>;

/// One request as its ingress daemon counts it; unique for an ingress
/// incarnation and never reused.
using request_id = strong_id<struct request_id_tag, std::uint64_t>;

/// A caller's Idempotency-Key.
using idempotency_key = strong_id<struct idempotency_key_tag, std::string>;

} // namespace apricotstile

#endif

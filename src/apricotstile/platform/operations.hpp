// Calls to the platform and their results. The decision code performs no I/O:
// it returns a call among its actions, and the daemon performs the call and
// passes the result back as an event with the same operation id.

#ifndef APRICOTSTILE_PLATFORM_OPERATIONS_HPP
#define APRICOTSTILE_PLATFORM_OPERATIONS_HPP

#include <apricotstile/platform/transaction.hpp>

#include <cstdint>
#include <string>

namespace apricotstile::platform {

/// Assigned by the caller; unique among its calls in flight.
using operation_id = strong_id<struct operation_id_tag, std::uint64_t>;

/// Name of an object in the object store: the hash of its body.
using object_name = strong_id<struct object_name_tag, std::string>;

struct submit_transaction {
    operation_id id;
    transaction work;
};

struct transaction_done {
    operation_id id;
    commit_result result;
};

/// Reads every row whose key starts with `prefix`.
struct read_rows {
    operation_id id;
    std::string prefix;
};

struct rows_read {
    operation_id id;
    read_result result;
};

struct put_object {
    operation_id id;
    object_name name;
    std::string body;
};

struct object_put {
    operation_id id;
    /// False if the object may not have been stored.
    bool stored{false};
};

struct get_object {
    operation_id id;
    object_name name;
};

struct object_got {
    operation_id id;
    /// False if the store didn't respond or has no such object.
    bool found{false};
    std::string body;
};

} // namespace apricotstile::platform

#endif

// Calls to the platform as decisions ask for them, and their results. A
// decision returns a call among its actions; the shell performs it and hands
// the result back as an event with the same operation id.

#ifndef APRICOTSTILE_PLATFORM_OPERATIONS_HPP
#define APRICOTSTILE_PLATFORM_OPERATIONS_HPP

#include <apricotstile/platform/transaction.hpp>

#include <cstdint>
#include <string>

namespace apricotstile::platform {

/// Chosen by the asking decision, unique among its calls in flight.
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
    /// False when it isn't certain that the object is stored.
    bool stored{false};
};

struct get_object {
    operation_id id;
    object_name name;
};

struct object_got {
    operation_id id;
    /// False when the store didn't answer or has no such object.
    bool found{false};
    std::string body;
};

} // namespace apricotstile::platform

#endif

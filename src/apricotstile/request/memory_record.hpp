// An owner's record of one idempotency key.

#ifndef APRICOTSTILE_REQUEST_MEMORY_RECORD_HPP
#define APRICOTSTILE_REQUEST_MEMORY_RECORD_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/core/ids.hpp>
#include <apricotstile/request/kept_answer.hpp>

#include <cstdint>

namespace apricotstile::request {

/// Keys are scoped to a customer: two customers may use the same key.
struct record_id {
    customer_id customer;
    idempotency_key key;

    friend bool operator==(const record_id&, const record_id&) = default;
};

struct memory_record {
    /// Hash of the parts that must be the same in a resend.
    std::uint64_t content_hash{0};
    /// True from `begin` until `finish`; such a record is never evicted.
    bool running{true};
    /// Not valid while `running`.
    kept_answer answer;
};

template <class Archive>
void serialize(Archive& archive, record_id& value) {
    archive(value.customer, value.key);
}

template <class Archive>
void serialize(Archive& archive, memory_record& value) {
    archive(value.content_hash, value.running, value.answer);
}

} // namespace apricotstile::request

template <>
struct std::hash<apricotstile::request::record_id> {
    std::size_t operator()(const apricotstile::request::record_id& id
    ) const noexcept {
        const std::size_t customer =
            std::hash<std::string>{}(id.customer.value);
        const std::size_t key = std::hash<std::string>{}(id.key.value);
        constexpr std::size_t odd_multiplier = 0x9E3779B97F4A7C15ULL;
        return customer * odd_multiplier ^ key;
    }
};

#endif

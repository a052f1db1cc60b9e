// Rows of a key owner, for the files that write and read them.

#ifndef APRICOTSTILE_KEYS_INTERNAL_OWNER_ROWS_HPP
#define APRICOTSTILE_KEYS_INTERNAL_OWNER_ROWS_HPP

#include <apricotstile/keys/key_owner.hpp>

namespace apricotstile::keys::internal {

/// The value of a lease row.
struct lease_record {
    /// Zero in a lease that another daemon has revoked.
    incarnation run;
    std::uint64_t renewals{0};
    guardian_list guardians;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(this->run, this->renewals, this->guardians);
    }
};

/// Zero if the row isn't there.
[[nodiscard]] inline platform::row_version
known_lease_version(const key_owner& state) {
    return state.has_lease_row ? state.lease_version : platform::row_version{};
}

/// Whether the lease row may be written: if this run didn't write the current
/// one, the map must have been read after it.
[[nodiscard]] inline bool may_write_lease(const key_owner& state) {
    return state.owns_row || state.uses_earlier_lease ||
           state.map_read_after == known_lease_version(state);
}

} // namespace apricotstile::keys::internal

#endif

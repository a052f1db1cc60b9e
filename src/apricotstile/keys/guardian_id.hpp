// Identity of a guardian: a host and the incarnation of its daemon. A restarted
// daemon has lost its promises and consents, so it counts as another guardian.

#ifndef APRICOTSTILE_KEYS_GUARDIAN_ID_HPP
#define APRICOTSTILE_KEYS_GUARDIAN_ID_HPP

#include <apricotstile/core/ids.hpp>

#include <compare>
#include <vector>

namespace apricotstile::keys {

struct guardian_id {
    host_id host;
    incarnation run;

    friend auto operator<=>(const guardian_id&, const guardian_id&) = default;
    friend bool operator==(const guardian_id&, const guardian_id&) = default;
};

template <class Archive>
void serialize(Archive& archive, guardian_id& value) {
    archive(value.host, value.run);
}

using guardian_list = std::vector<guardian_id>;

} // namespace apricotstile::keys

#endif

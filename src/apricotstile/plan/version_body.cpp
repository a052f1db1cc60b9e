// Names of version bodies and keys of rows.

#include <apricotstile/plan/version_body.hpp>

#include <fmt/format.h>
#include <xxhash.h>

namespace apricotstile::plan {

std::string version_row_key(plan_version version) {
    // Padded so that the key of one version is no prefix of another's.
    return fmt::format("plans/version/{:020}", version.value);
}

platform::object_name content_name(const std::string& body) {
    const XXH128_hash_t hash = XXH3_128bits(body.data(), body.size());
    return {fmt::format("plans-{:016x}{:016x}", hash.high64, hash.low64)};
}

} // namespace apricotstile::plan

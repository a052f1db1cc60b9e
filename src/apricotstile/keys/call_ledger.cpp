// Lookups in the ledger of grants by call.

#include <apricotstile/keys/call_ledger.hpp>

#include <algorithm>

namespace apricotstile::keys {

bool is_token_outdated(
    const call_ledger& ledger, const key_range& keys, fencing_token fence
) {
    return std::any_of(
        ledger.rejected.begin(),
        ledger.rejected.end(),
        [&](const rejected_token& one) {
            return overlap(one.keys, keys) && fence <= one.fence;
        }
    );
}

} // namespace apricotstile::keys

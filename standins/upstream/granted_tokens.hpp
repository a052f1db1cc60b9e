// Fencing tokens that the daemon beside the upstream has granted.

#ifndef APRICOTSTILE_STANDINS_UPSTREAM_GRANTED_TOKENS_HPP
#define APRICOTSTILE_STANDINS_UPSTREAM_GRANTED_TOKENS_HPP

#include <apricotstile/core/ids.hpp>
#include <apricotstile/core/time.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace apricotstile::standins {

struct granted_tokens {
    /// Tokens only rise.
    std::map<std::pair<service_id, slice_id>, fencing_token> tokens;
    /// Nothing is granted from this instant on.
    instant valid_until{};
};

struct token_grant {
    service_id service;
    slice_id slice;
    fencing_token token;
};

struct grant_message {
    duration valid_for{0};
    std::vector<token_grant> slices;
};

/// Reads the body of POST /grants; throws an exception of the JSON library.
[[nodiscard]] grant_message parse_grants(const std::string& text);

/// Raises tokens and extends the validity of everything granted.
void add_grants(
    granted_tokens& granted, const grant_message& message, instant now
);

/// True when `token` is the granted one of the slice and still valid.
[[nodiscard]] bool
permits(const granted_tokens& granted, const token_grant& wanted, instant now);

} // namespace apricotstile::standins

#endif

// What an upstream stand-in's answer says about the request it answers, so
// that a caller notices an answer that belongs to another request.

#ifndef APRICOTSTILE_STANDINS_SUPPORT_ECHOED_REQUEST_HPP
#define APRICOTSTILE_STANDINS_SUPPORT_ECHOED_REQUEST_HPP

#include <string>
#include <string_view>

namespace apricotstile::standins {

struct echoed_request {
    std::string service;
    std::string key;
    std::string customer;
    std::string call;
    /// Of the request's body.
    std::string digest;

    friend bool
    operator==(const echoed_request&, const echoed_request&) = default;
};

[[nodiscard]] std::string digest_of(std::string_view body);

/// The answer's body: the echo, and the upstream's address for people.
[[nodiscard]] std::string
answer_body(const echoed_request& echo, const std::string& upstream);

/// True when `body` is the whole answer to exactly this request.
[[nodiscard]] bool
is_answer_to(const echoed_request& sent, const std::string& body);

} // namespace apricotstile::standins

#endif

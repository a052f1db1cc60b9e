// The answer to a finished non-idempotent request, kept for replay.

#ifndef APRICOTSTILE_REQUEST_KEPT_ANSWER_HPP
#define APRICOTSTILE_REQUEST_KEPT_ANSWER_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/request/outcome.hpp>

#include <cstdint>
#include <string>

namespace apricotstile::request {

struct kept_answer {
    /// `answered` with the complete answer below, or `unknown`.
    request::outcome outcome{request::outcome::unknown};
    request::refusal refusal{request::refusal::none};
    std::uint16_t status{0};
    std::string content_type;
    std::string body;

    friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

template <class Archive>
void serialize(Archive& archive, kept_answer& value) {
    archive(value.outcome, value.refusal, value.status);
    archive(value.content_type, value.body);
}

} // namespace apricotstile::request

#endif

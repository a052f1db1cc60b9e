// What an owner must do with a non-idempotent request that has arrived.

#ifndef APRICOTSTILE_REQUEST_BEGIN_RESULT_HPP
#define APRICOTSTILE_REQUEST_BEGIN_RESULT_HPP

#include <apricotstile/request/kept_answer.hpp>

#include <variant>

namespace apricotstile::request {

/// Run the request, then call `finish` exactly once.
struct run_request {};

/// The request has finished before; return the same answer again.
struct replay_it {
    kept_answer answer;
};

/// Don't run the request; answer with `outcome` and `refusal`.
struct refuse_it {
    request::outcome outcome{request::outcome::not_run};
    request::refusal refusal{request::refusal::none};
};

using begin_result = std::variant<run_request, replay_it, refuse_it>;

} // namespace apricotstile::request

#endif

// How calls that grant and release keys are written as HTTP. Set by the adapter
// of a deployment.

#ifndef APRICOTSTILE_SIDECAR_KEY_CALL_FORMAT_HPP
#define APRICOTSTILE_SIDECAR_KEY_CALL_FORMAT_HPP

#include <apricotstile/http/message.hpp>
#include <apricotstile/http/message_reader.hpp>
#include <apricotstile/keys/instance_call.hpp>

#include <functional>

namespace apricotstile::sidecar {

struct key_call_format {
    std::function<http::http_request(const keys::grant_call&)> grant_request;
    std::function<http::http_request(const keys::release_call&)>
        release_request;
    /// Reads the response to either call.
    std::function<keys::call_result(const http::received_response&)>
        read_response;
};

} // namespace apricotstile::sidecar

#endif

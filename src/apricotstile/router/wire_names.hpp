// The header names by which callers, upstream instances and this daemon
// understand each other. A deployment's adapter gives them.

#ifndef APRICOTSTILE_ROUTER_WIRE_NAMES_HPP
#define APRICOTSTILE_ROUTER_WIRE_NAMES_HPP

#include <string>

namespace apricotstile::router {

struct wire_names {
    /// Caller's id of one request; instances and answers repeat it.
    std::string request_id;
    /// Milliseconds that the sender goes on waiting.
    std::string time_left;
    /// Service beside the daemon that the request came in by.
    std::string caller_service;
    /// Key of a request to a keyed service, as a decimal number.
    std::string key;
    /// In an instance's answer: its proof that the answer is its own.
    std::string signature;
    /// In an instance's answer: it didn't run the request.
    std::string not_executed;
    /// Id of the instance that alone may run the request.
    std::string expected_instance;
    /// In an instance's answer: running, waiting and slots.
    std::string load;
};

} // namespace apricotstile::router

#endif

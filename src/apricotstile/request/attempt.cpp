// Names of attempt states as shown in dumps.

#include <apricotstile/request/attempt.hpp>

namespace apricotstile::request {

std::string_view to_string(attempt_state value) {
    switch (value) {
    case attempt_state::routing:
        return "routing";
    case attempt_state::in_flight:
        return "in_flight";
    case attempt_state::waiting_for_map:
        return "waiting_for_map";
    case attempt_state::backing_off:
        return "backing_off";
    }
    return "invalid";
}

} // namespace apricotstile::request

// Names of journal steps as shown in dumps.

#include <apricotstile/request/journal.hpp>

namespace apricotstile::request {

std::string_view to_string(journal_step value) {
    switch (value) {
    case journal_step::arrived:
        return "arrived";
    case journal_step::sent:
        return "sent";
    case journal_step::send_failed:
        return "send_failed";
    case journal_step::link_lost:
        return "link_lost";
    case journal_step::refused:
        return "refused";
    case journal_step::waits_for_map:
        return "waits_for_map";
    case journal_step::backs_off:
        return "backs_off";
    }
    return "invalid";
}

} // namespace apricotstile::request

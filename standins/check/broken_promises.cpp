// Judges a report.

#include <standins/check/broken_promises.hpp>

#include <standins/check/run_report.hpp>

namespace apricotstile::standins {

std::vector<std::string>
broken_promises(const run_report& report, const tolerance& allowed) {
    std::vector<std::string> broken;
    const auto must_be_zero = [&](std::uint64_t count, const char* name) {
        if (count != 0) {
            broken.emplace_back(name);
        }
    };
    must_be_zero(report.lost, "lost");
    must_be_zero(report.doubled, "doubled");
    must_be_zero(report.not_run_but_ran, "not_run_but_ran");
    must_be_zero(report.over_plan, "over_plan");
    must_be_zero(report.wrong_answer, "wrong_answer");
    must_be_zero(report.stale_token, "stale_token");
    must_be_zero(report.two_owners, "two_owners");
    if (!allowed.cuts_expected) {
        must_be_zero(report.cut_in_flight, "cut_in_flight");
    }
    if (report.answered == 0) {
        // A run that answered nothing shows nothing.
        broken.emplace_back("answered");
    }
    if (allowed.most_unavailable_ms &&
        report.max_unavailable_ms > *allowed.most_unavailable_ms) {
        broken.emplace_back("max_unavailable_ms");
    }
    return broken;
}

} // namespace apricotstile::standins

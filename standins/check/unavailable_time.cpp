// A group of keys is unavailable from when a call was first sent in vain until
// the next answer to any call of the group.

#include <standins/check/unavailable_time.hpp>

#include <apricotstile/core/hashing.hpp>
#include <standins/check/observed_run.hpp>
#include <standins/check/run_report.hpp>

#include <algorithm>
#include <map>

namespace apricotstile::standins {

namespace {

/// A slice of a keyed service, or the whole of another service.
std::string group_of(const observed_run& run, const attempt& one) {
    if (run.keyed_services.count(one.service) == 0) {
        return one.service;
    }
    const slice_id slice = slice_of(one.key, run.slices);
    return one.service + "/" + std::to_string(slice.value);
}

/// True when the caller's daemon itself was gone, which says nothing about
/// the key: other daemons may serve it.
bool daemon_was_gone(const observed_run& run, const attempt& one) {
    const bool no_answer = one.result == attempt_result::not_sent ||
                           one.result == attempt_result::connection_lost ||
                           one.result == attempt_result::timed_out;
    return no_answer && run.faulted.count(one.daemon) > 0;
}

/// False for attempts that don't tell whether their key is available.
bool counts(const observed_run& run, const attempt& one) {
    return one.result != attempt_result::hung_up &&
           one.refusal != "over_plan" && one.refusal != "not_allowed_by_plan" &&
           one.refusal != "unknown_customer" &&
           one.refusal != "no_connection_free" && !daemon_was_gone(run, one);
}

duration longest_gap(std::vector<const attempt*>& attempts) {
    std::sort(
        attempts.begin(),
        attempts.end(),
        [](const attempt* left, const attempt* right) {
            return left->done < right->done;
        }
    );
    duration longest{0};
    instant last_answer{};
    // The latest instant stands for "not wanted".
    instant wanted_since = instant::max();
    for (const attempt* one : attempts) {
        wanted_since = std::min(wanted_since, one->sent);
        const instant since = std::max(wanted_since, last_answer);
        longest = std::max(longest, one->done - since);
        if (one->result == attempt_result::answered) {
            last_answer = one->done;
            wanted_since = instant::max();
        }
    }
    return longest;
}

} // namespace

void check_unavailable_time(const observed_run& run, run_report& report) {
    std::map<std::string, std::vector<const attempt*>> groups;
    for (const attempt& one : run.attempts) {
        if (counts(run, one)) {
            groups[group_of(run, one)].push_back(&one);
        }
    }
    for (auto& [name, attempts] : groups) {
        const std::chrono::duration<double, std::milli> gap =
            longest_gap(attempts);
        if (gap.count() > report.max_unavailable_ms) {
            report.max_unavailable_ms = gap.count();
            report.max_unavailable_at = name;
        }
    }
}

} // namespace apricotstile::standins

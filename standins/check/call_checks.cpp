// Joins attempts and executions by the call's name.

#include <standins/check/call_checks.hpp>

#include <standins/check/observed_run.hpp>
#include <standins/check/run_report.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace apricotstile::standins {

namespace {

struct call_history {
    /// In order of their numbers.
    std::vector<const attempt*> attempts;
    std::vector<const execution*> executions;
};

std::map<std::string, call_history> histories_of(const observed_run& run) {
    std::map<std::string, call_history> histories;
    for (const attempt& one : run.attempts) {
        histories[one.call].attempts.push_back(&one);
    }
    for (const execution& one : run.executions) {
        histories[one.call].executions.push_back(&one);
    }
    for (auto& [name, history] : histories) {
        std::sort(
            history.attempts.begin(),
            history.attempts.end(),
            [](const attempt* left, const attempt* right) {
                return left->number < right->number;
            }
        );
    }
    return histories;
}

void count_outcome(const call_history& history, run_report& report) {
    ++report.requests;
    const attempt& last = *history.attempts.back();
    const bool any_may_have_run = std::any_of(
        history.attempts.begin(),
        history.attempts.end(),
        [](const attempt* one) {
            return may_have_run(one->result);
        }
    );
    if (last.result == attempt_result::answered) {
        ++report.answered;
    } else if (last.result == attempt_result::hung_up) {
        ++report.hung_up;
    } else if (any_may_have_run) {
        ++report.unknown;
    } else {
        ++report.not_run;
    }
}

bool ran_to_its_end(const execution* one) {
    return one->end == execution_end::answered ||
           one->end == execution_end::answer_lost;
}

bool is_lost(const call_history& history) {
    const attempt& last = *history.attempts.back();
    constexpr std::uint32_t first_error_status = 300;
    if (last.result != attempt_result::answered ||
        last.status >= first_error_status) {
        return false;
    }
    return std::none_of(
        history.executions.begin(), history.executions.end(), ran_to_its_end
    );
}

/// An execution began before any attempt that may have run was sent.
bool ran_though_not_run(const call_history& history) {
    instant first_possible = instant::max();
    for (const attempt* one : history.attempts) {
        if (may_have_run(one->result)) {
            first_possible = std::min(first_possible, one->sent);
        }
    }
    return std::any_of(
        history.executions.begin(),
        history.executions.end(),
        [&](const execution* one) {
            return one->started < first_possible;
        }
    );
}

bool is_cut(const attempt& one) {
    switch (one.result) {
    case attempt_result::connection_lost:
    case attempt_result::malformed:
        return true;
    case attempt_result::unknown:
        return one.refusal != "deadline_passed" &&
               one.refusal != "upstream_timed_out" &&
               one.refusal != "in_progress" && one.refusal != "cancelled";
    default:
        return false;
    }
}

std::string name_of(const attempt& one) {
    const nlohmann::json line = to_line(one);
    const std::string result = line.at("result");
    return one.refusal.empty() ? result : result + "/" + one.refusal;
}

void count_attempt(const attempt& one, run_report& report) {
    ++report.attempts;
    if (is_cut(one)) {
        ++report.cut_in_flight;
    }
    if (!one.right_answer) {
        ++report.wrong_answer;
    }
    if (one.result != attempt_result::answered) {
        ++report.refusals[name_of(one)];
    }
}

void count_doubled(const observed_run& run, run_report& report) {
    std::map<std::string, std::uint64_t> runs;
    for (const execution& one : run.executions) {
        const bool again =
            !one.caller_key.empty() && ++runs[one.caller_key] > 1;
        report.doubled += again ? 1 : 0;
    }
}

} // namespace

void check_calls(const observed_run& run, run_report& report) {
    for (const auto& [name, history] : histories_of(run)) {
        if (history.attempts.empty()) {
            continue;
        }
        count_outcome(history, report);
        report.lost += is_lost(history) ? 1 : 0;
        report.not_run_but_ran += ran_though_not_run(history) ? 1 : 0;
    }
    for (const attempt& one : run.attempts) {
        count_attempt(one, report);
    }
    count_doubled(run, report);
}

} // namespace apricotstile::standins

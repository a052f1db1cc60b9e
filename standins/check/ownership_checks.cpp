// Walks executions in the order of their start.

#include <standins/check/ownership_checks.hpp>

#include <standins/check/observed_run.hpp>
#include <standins/check/run_report.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace apricotstile::standins {

namespace {

using slice_key = std::pair<std::string, std::uint32_t>;

std::vector<const execution*> keyed_by_start(const observed_run& run) {
    std::vector<const execution*> ordered;
    for (const execution& one : run.executions) {
        if (run.keyed_services.count(one.service) > 0) {
            ordered.push_back(&one);
        }
    }
    std::sort(
        ordered.begin(),
        ordered.end(),
        [](const execution* left, const execution* right) {
            return left->started < right->started;
        }
    );
    return ordered;
}

void count_moves(
    const std::vector<const execution*>& ordered, run_report& report
) {
    std::map<std::pair<std::string, std::string>, std::string> upstream_of;
    for (const execution* one : ordered) {
        std::string& upstream = upstream_of[{one->service, one->key}];
        const bool moved = !upstream.empty() && upstream != one->upstream;
        report.keys_moved += moved ? 1 : 0;
        upstream = one->upstream;
    }
}

void count_stale_tokens(
    const std::vector<const execution*>& ordered, run_report& report
) {
    std::map<slice_key, std::uint64_t> highest;
    for (const execution* one : ordered) {
        std::uint64_t& seen = highest[{one->service, one->slice}];
        report.stale_token += one->token < seen ? 1 : 0;
        seen = std::max(seen, one->token);
    }
}

/// Work of an upstream with a fault may have no known end; it isn't counted,
/// since it may have been lost with its process at any time.
void count_two_owners(
    const std::vector<const execution*>& ordered, run_report& report
) {
    struct last_end {
        std::uint64_t token{0};
        instant ended{};
    };

    std::map<slice_key, last_end> latest;
    for (const execution* one : ordered) {
        last_end& last = latest[{one->service, one->slice}];
        const bool overlaps =
            last.token != one->token && one->started < last.ended;
        report.two_owners += overlaps ? 1 : 0;
        const instant ended = one->ended.value_or(one->started);
        if (ended > last.ended) {
            last = {one->token, ended};
        }
    }
}

void note_imbalance(const observed_run& run, run_report& report) {
    std::map<std::string, std::map<std::string, double>> counts;
    for (const execution& one : run.executions) {
        if (run.faulted.count(one.upstream) == 0) {
            ++counts[one.service][one.upstream];
        }
    }
    for (const auto& [service, by_upstream] : counts) {
        double sum = 0;
        double most = 0;
        for (const auto& [upstream, count] : by_upstream) {
            sum += count;
            most = std::max(most, count);
        }
        const double mean = sum / static_cast<double>(by_upstream.size());
        report.imbalance = std::max(report.imbalance, most / mean);
    }
}

} // namespace

void check_ownership(const observed_run& run, run_report& report) {
    const std::vector<const execution*> ordered = keyed_by_start(run);
    count_moves(ordered, report);
    count_stale_tokens(ordered, report);
    count_two_owners(ordered, report);
    note_imbalance(run, report);
}

} // namespace apricotstile::standins

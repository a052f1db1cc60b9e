// A planner over a fake table whose calls are answered at once, with owners
// that release a while after they are asked to.

#ifndef APRICOTSTILE_BENCHMARKS_PLANNER_CLUSTER_HPP
#define APRICOTSTILE_BENCHMARKS_PLANNER_CLUSTER_HPP

#include <apricotstile/assignment/planner.hpp>
#include <tests/support/fake_table.hpp>

#include <chrono>
#include <map>
#include <vector>

namespace apricotstile::benchmarks {

/// Consistent hashing with a hundred points a host, as a baseline.
struct hash_ring {
    std::map<std::uint64_t, host_id> points;

    explicit hash_ring(const std::vector<host_id>& hosts);
    host_id owner_of(std::uint32_t slice) const;
    std::size_t moved_to(const hash_ring& other, std::uint32_t slices) const;
    double slice_imbalance(std::uint32_t slices) const;
};

struct planner_cluster {
    assignment::planner planner_state;
    tests::fake_table table;
    random_source random{20261203};
    instant now;
    std::map<host_id, member::member_record> records;
    /// Requests a second by slice without the hot keys, and of those.
    std::vector<double> slice_rates;
    std::map<std::string, double> key_rates;

    std::uint64_t transactions{0};
    std::uint64_t moved{0};
    std::uint64_t change_bytes{0};
    std::chrono::steady_clock::duration longest_step{};

    planner_cluster(
        std::size_t members, std::size_t domains, std::uint32_t slices
    );

    /// Runs until the planner has written nothing for a second.
    void settle();
    /// The same with load reports, until balance is kept; returns the time.
    duration settle_load();
    void reset_counts();

    void lose_first(std::size_t count);
    void bring_back();
    /// Drains, stops and brings back a member.
    void restart(std::size_t index);
    void set_zipf_load(std::size_t keys, double skew, double total);

    std::vector<host_id> hosts() const;
    std::size_t owned_by(std::size_t index) const;
    std::size_t owned_by_first(std::size_t count) const;
    double slice_imbalance() const;
    double load_imbalance() const;
    double load_imbalance_with(const hash_ring& ring) const;
    /// The hottest key's rate over the mean member's.
    double hottest_key_share() const;
    std::size_t exceptions() const;

    void tell_members();
    void feed(const assignment::planner_event& event);
    void release_planned();
    void report_load();
};

} // namespace apricotstile::benchmarks

#endif

// Safety and recovery of leases under random fault schedules. Guards against
// two owners of a slice: a lease that is still valid after its holder was
// deposed. Also checks that each of several faults seeded into the protocol is
// detected, so that the checks themselves work.

#include <tests/lease/fault_schedule.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdlib>

namespace apricotstile::tests {

namespace {

/// Seed of the first schedule; the others have the seeds that follow.
constexpr std::uint64_t first_seed = 20261203;
constexpr std::uint64_t schedules_by_default = 1000;

/// Returns the value of the environment variable `name`. LEASE_SCHEDULES sets
/// the number of schedules and LEASE_SEED the seed of the first.
std::uint64_t from_environment(const char* name, std::uint64_t default_value) {
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

struct detection {
    /// Number of schedules up to and including the one that failed; zero if
    /// none did.
    std::uint64_t schedules{0};
    std::string violation;
};

detection first_unsafe(const seeded_faults& faults, std::uint64_t limit) {
    for (std::uint64_t i = 0; i < limit; ++i) {
        const auto result = run_schedule(first_seed + i, faults);
        if (result.unsafe) {
            return {i + 1, result.violation};
        }
    }
    return {};
}

} // namespace

TEST_CASE(
    "No lease is valid after its deposition under random faults",
    "[lease][schedules]"
) {
    const std::uint64_t count =
        from_environment("LEASE_SCHEDULES", schedules_by_default);
    const std::uint64_t first = from_environment("LEASE_SEED", first_seed);
    std::size_t depositions = 0;
    std::size_t joins = 0;
    std::size_t violations = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const schedule_result result = run_schedule(seed, {});
        depositions += result.depositions;
        joins += result.joins;
        if (!result.violation.empty()) {
            ++violations;
            UNSCOPED_INFO(fmt::format("{}: {}", seed, result.violation));
        }
    }
    fmt::print(
        "{} schedules, {} joins, {} depositions, {} violations\n",
        count,
        joins,
        depositions,
        violations
    );
    CHECK(violations == 0);
}

TEST_CASE(
    "Each seeded protocol fault violates the safety of leases",
    "[lease][schedules]"
) {
    struct seeded {
        const char* name;
        seeded_faults faults;
    };

    const seeded every_fault[] = {
        {"no drift margin", {true, false, false, false}},
        {"guardian forgets and keeps its identity",
         {false, true, false, false}},
        {"deposition not conditional", {false, false, true, false}},
        {"promise after consent", {false, false, false, true}}};
    const std::uint64_t limit =
        from_environment("LEASE_SCHEDULES", schedules_by_default);
    for (const seeded& one : every_fault) {
        const detection found = first_unsafe(one.faults, limit);
        fmt::print(
            "{}: case {}: {}\n", one.name, found.schedules, found.violation
        );
        CHECK(found.schedules != 0);
    }
}

} // namespace apricotstile::tests

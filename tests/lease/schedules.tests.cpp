// Promises of the lease under random schedules of faults, and proof that the
// properties fail when a known mistake is made.

#include <tests/lease/fault_schedule.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdlib>

namespace apricotstile::tests {

namespace {

/// The first schedule of the fixed range; the rest follow by one.
constexpr std::uint64_t first_seed = 20261203;
constexpr std::uint64_t schedules_by_default = 1000;

/// LEASE_SCHEDULES in the environment asks for more (or other) than the
/// default number, LEASE_SEED for another start.
std::uint64_t from_environment(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

struct caught {
    /// Number of cases up to and with the one that failed; zero if none did.
    std::uint64_t after{0};
    std::string violation;
};

caught first_unsafe(const seeded_faults& faults, std::uint64_t limit) {
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
    "No lease outlives its deposition under random faults", "[lease][schedules]"
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
    "Seeded faults break the promises of the lease", "[lease][schedules]"
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
        const caught found = first_unsafe(one.faults, limit);
        fmt::print("{}: case {}: {}\n", one.name, found.after, found.violation);
        CHECK(found.after != 0);
    }
}

} // namespace apricotstile::tests

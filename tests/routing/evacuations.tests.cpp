// Guards against daemons that disagree on which failure domains are evacuated,
// whatever order and copies their updates arrive in, and against an evacuation
// that takes longer because a daemon learns of it late.

#include <apricotstile/core/random.hpp>
#include <apricotstile/routing/evacuations.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <set>

using namespace apricotstile;
using namespace apricotstile::routing;
using namespace std::chrono_literals;

namespace {

const instant start{100s};
const failure_domain_id zone_a{"a"};
const failure_domain_id zone_b{"b"};

evacuation_changes
complete(std::uint64_t version, std::vector<evacuation_change> rows) {
    return {true, {version}, std::move(rows)};
}

evacuation_changes
changes(std::uint64_t version, std::vector<evacuation_change> rows) {
    return {false, {version}, std::move(rows)};
}

/// A daemon that has read the table at version 10, with `zone_a` evacuated.
evacuations with_zone_a() {
    evacuations state;
    static_cast<void>(apply_changes(state, complete(10, {{zone_a, {7}}}), start)
    );
    return state;
}

std::set<failure_domain_id> domains_of(const evacuations& state) {
    std::set<failure_domain_id> result;
    for (const auto& [domain, one] : state.domains) {
        result.insert(domain);
    }
    return result;
}

} // namespace

TEST_CASE("nothing is known before a complete read", "[routing][evacuation]") {
    evacuations state;
    const auto difference =
        apply_changes(state, changes(10, {{zone_a, {10}}}), start);
    CHECK_FALSE(difference.is_newer);
    CHECK_FALSE(state.version);
    CHECK_FALSE(make_report(state, start));
    // An empty table is knowledge too.
    CHECK(apply_changes(state, complete(10, {}), start).is_newer);
    CHECK(make_report(state, start));
}

TEST_CASE(
    "a row that a complete read lacks is withdrawn, one that changes lack "
    "isn't",
    "[routing][evacuation]"
) {
    evacuations state = with_zone_a();
    const auto added =
        apply_changes(state, changes(11, {{zone_b, {11}}}), start);
    CHECK(added.evacuated == std::vector{zone_b});
    CHECK(added.withdrawn.empty());
    CHECK(domains_of(state) == std::set{zone_a, zone_b});
    const auto read =
        apply_changes(state, complete(12, {{zone_b, {11}}}), start);
    CHECK(read.evacuated.empty());
    CHECK(read.withdrawn == std::vector{zone_a});
    CHECK(domains_of(state) == std::set{zone_b});
}

TEST_CASE("the newest version wins", "[routing][evacuation]") {
    evacuations state = with_zone_a();
    CHECK_FALSE(apply_changes(state, complete(9, {}), start).is_newer);
    CHECK_FALSE(apply_report(state, {{10}, {}}, start).is_newer);
    CHECK(is_evacuated(state, zone_a));
    const auto withdrawn = apply_report(state, {{11}, {}}, start);
    CHECK(withdrawn.withdrawn == std::vector{zone_a});
    CHECK_FALSE(is_evacuated(state, zone_a));
    // Changes that arrive late from the table are part of that version.
    CHECK_FALSE(
        apply_changes(state, changes(11, {{zone_a, {8}}}), start).is_newer
    );
    CHECK_FALSE(is_evacuated(state, zone_a));
}

TEST_CASE(
    "a domain that is evacuated again in one delivery stays evacuated, under "
    "the new row",
    "[routing][evacuation]"
) {
    evacuations state = with_zone_a();
    const auto difference = apply_changes(
        state,
        changes(12, {{zone_a, {11}, true}, {zone_a, {12}, false}}),
        start + 3s
    );
    CHECK(difference.evacuated.empty());
    CHECK(difference.withdrawn.empty());
    CHECK(state.domains.at(zone_a).version == platform::row_version{12});
    CHECK(state.domains.at(zone_a).seen == start + 3s);
}

TEST_CASE(
    "the age of an evacuation counts from the daemon that saw it first",
    "[routing][evacuation]"
) {
    const evacuations first = with_zone_a();
    const auto report = make_report(first, start + 2s);
    REQUIRE(report);
    evacuations late;
    static_cast<void>(apply_report(late, *report, start + 2s));
    CHECK(late.domains.at(zone_a).seen == start);
    // A daemon that has read the row itself learns from a report of the same
    // version that others saw it before.
    evacuations reader;
    static_cast<void>(
        apply_changes(reader, complete(10, {{zone_a, {7}}}), start + 1s)
    );
    CHECK(reader.domains.at(zone_a).seen == start + 1s);
    CHECK_FALSE(apply_report(reader, *report, start + 2s).is_newer);
    CHECK(reader.domains.at(zone_a).seen == start);
    // A later read of the same row doesn't make it younger.
    static_cast<void>(
        apply_changes(reader, complete(15, {{zone_a, {7}}}), start + 9s)
    );
    CHECK(reader.domains.at(zone_a).seen == start);
}

TEST_CASE(
    "keys are served for a limited time, less if the evacuation is old",
    "[routing][evacuation]"
) {
    const evacuation_policy policy;
    const evacuation seen{{7}, start};
    CHECK(key_service_end(seen, policy, start) == start + 2600ms);
    CHECK(key_service_end(seen, policy, start + 2s) == start + 2600ms);
    CHECK(key_service_end(seen, policy, std::nullopt) == start + 2600ms);
    evacuation_policy short_drain = policy;
    short_drain.max_key_service = 200ms;
    CHECK(key_service_end(seen, short_drain, start) == start + 200ms);
    evacuation_policy long_drain = policy;
    long_drain.max_key_service = 10s;
    CHECK(key_service_end(seen, long_drain, start) == start + 2600ms);
    evacuation_policy no_time = policy;
    no_time.timeout = 1s;
    CHECK(key_service_end(seen, no_time, start) == start);
}

TEST_CASE(
    "daemons agree with the table once they have its newest version",
    "[routing][evacuation]"
) {
    rc::prop("deliveries and reports in any order", [] {
        constexpr std::uint64_t rounds = 40;
        constexpr std::size_t daemons = 4;
        random_source random{*rc::gen::arbitrary<std::uint64_t>()};
        std::map<failure_domain_id, platform::row_version> table;
        std::vector<evacuation_change> history;
        std::uint64_t version = 1;
        std::vector<evacuations> states(daemons);
        // What each daemon's feed has delivered, zero before its first read.
        std::vector<std::uint64_t> delivered(daemons, 0);
        std::vector<evacuation_report> reports;
        const auto read = [&](std::size_t daemon) {
            evacuation_changes update = complete(version, {});
            for (const auto& [domain, row] : table) {
                update.changes.push_back({domain, row, false});
            }
            static_cast<void>(apply_changes(states[daemon], update, start));
            delivered[daemon] = version;
        };
        for (std::uint64_t round = 0; round < rounds; ++round) {
            const std::size_t daemon = random_below(random, daemons);
            switch (random_below(random, 5)) {
            case 0: {
                const failure_domain_id domain{
                    std::to_string(random_below(random, 3))};
                ++version;
                const bool withdrawn = table.erase(domain) > 0;
                if (!withdrawn) {
                    table[domain] = {version};
                }
                history.push_back({domain, {version}, withdrawn});
                break;
            }
            case 1:
                read(daemon);
                break;
            case 2: {
                evacuation_changes update = changes(version, {});
                for (const evacuation_change& one : history) {
                    if (one.version.value > delivered[daemon]) {
                        update.changes.push_back(one);
                    }
                }
                if (delivered[daemon] > 0) {
                    static_cast<void>(
                        apply_changes(states[daemon], update, start)
                    );
                    delivered[daemon] = version;
                }
                break;
            }
            case 3:
                if (const auto report = make_report(states[daemon], start)) {
                    reports.push_back(*report);
                }
                break;
            default:
                if (!reports.empty()) {
                    const auto& one =
                        reports[random_below(random, reports.size())];
                    static_cast<void>(apply_report(states[daemon], one, start));
                }
                break;
            }
            for (const evacuations& state : states) {
                if (state.version == platform::row_version{version}) {
                    RC_ASSERT(state.domains.size() == table.size());
                    for (const auto& [domain, row] : table) {
                        RC_ASSERT(state.domains.at(domain).version == row);
                    }
                }
            }
        }
    });
}

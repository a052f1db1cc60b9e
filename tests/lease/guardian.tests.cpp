// Decisions of guardians and holders, selection of guardians, and writes of a
// member's own row. Guards against a guardian that consents to a deposition
// while a promise of it may still be valid, for example after a restart,
// against a promise that late or repeated messages extend, and against a lost
// answer that is taken for a failed write.

#include <apricotstile/lease/participant.hpp>
#include <apricotstile/member/guardian_choice.hpp>
#include <tests/lease/simulation.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;

constexpr instant start_of_test{1h};
constexpr lease::policy limits;

member::member_ref ref(std::uint64_t host) {
    return {host_id{host}, incarnation{1}};
}

lease::guardian_identity identity() {
    return {host_id{2}, ref(2), start_of_test};
}

bool consents(
    lease::guardian_state& state, guardian_generation under, instant now
) {
    const lease::consent_request request{ref(1), ref(2), under};
    const auto reply = lease::answer(state, identity(), request, limits, now);
    return std::holds_alternative<lease::consent>(reply);
}

bool promises(
    lease::guardian_state& state, guardian_generation under, instant now
) {
    const lease::heartbeat request{ref(1), ref(2), under, 0, true};
    const auto reply = lease::answer(state, identity(), request, limits, now);
    return std::holds_alternative<lease::promise>(reply);
}

} // namespace

TEST_CASE(
    "A guardian consents no earlier than one lease after it is listed",
    "[lease]"
) {
    lease::guardian_state state;
    const guardian_generation first{1};
    CHECK(!consents(state, first, start_of_test));
    const duration bound = lease::guardian_lease_length(limits);
    CHECK(!consents(state, first, start_of_test + bound - 1ns));
    CHECK(consents(state, first, start_of_test + bound));
}

TEST_CASE(
    "A guardian that consented promises only under a newer generation",
    "[lease]"
) {
    lease::guardian_state state;
    const guardian_generation first{1};
    CHECK(promises(state, first, start_of_test));
    CHECK(consents(state, first, start_of_test + 2s));
    CHECK(!promises(state, first, start_of_test + 3s));
    CHECK(promises(state, next(first), start_of_test + 3s));
    // The promise holds under every later generation too.
    CHECK(!consents(state, next(first), start_of_test + 4s));
}

TEST_CASE(
    "A restarted guardian promises nothing for its predecessor and "
    "consents on its behalf only after one lease",
    "[lease]"
) {
    lease::guardian_state state;
    const lease::guardian_identity fresh{
        host_id{2}, std::nullopt, start_of_test};
    const lease::heartbeat heartbeat{
        ref(1), ref(2), guardian_generation{1}, 0, true};
    const auto refused =
        lease::answer(state, fresh, heartbeat, limits, start_of_test);
    CHECK(std::holds_alternative<lease::refusal>(refused));
    const lease::consent_request request{
        ref(1), ref(2), guardian_generation{1}};
    const duration bound = lease::guardian_lease_length(limits);
    const auto early = lease::answer(
        state, fresh, request, limits, start_of_test + bound - 1ns
    );
    CHECK(std::holds_alternative<lease::consent_refusal>(early));
    const auto late =
        lease::answer(state, fresh, request, limits, start_of_test + bound);
    CHECK(std::holds_alternative<lease::consent>(late));
}

TEST_CASE("A promise starts at the send time of its heartbeat", "[lease]") {
    rc::prop("late, repeated and reordered answers don't extend a promise", [] {
        const auto sent =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
                rc::gen::inRange<std::int64_t>(0, 1'000'000'000)
            ));
        lease::received_promises state;
        for (const std::int64_t one : sent) {
            const lease::promise received{ref(1), ref(2), one};
            lease::handle_promise(state, received, limits);
        }
        const auto newest = *std::max_element(sent.begin(), sent.end());
        const instant until =
            instant{duration{newest}} + lease::holder_lease_length(limits);
        RC_ASSERT(state.promised_until.at(ref(2)) == until);
        RC_ASSERT(
            lease::promised_by_quorum(state, {ref(2), ref(3), ref(4)}) ==
            instant::min()
        );
    });
}

TEST_CASE(
    "Guardians cover three localities as far as members exist", "[member]"
) {
    rc::prop("three distinct active hosts, one in each possible locality", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 40);
        const auto regions = *rc::gen::inRange<std::size_t>(1, 4);
        member::member_set members;
        for (std::size_t index = 1; index <= count; ++index) {
            member::member_record record;
            record.self = ref(index);
            record.where = location_of(index, regions);
            member::merge(members, {platform::row_version{1}, record});
        }
        const location where = location_of(1, regions);
        const member::guardian_criteria criteria{host_id{1}, where, {}, {}};
        const auto chosen = member::choose_guardians(criteria, members);
        RC_ASSERT(chosen.empty() == (count < 4));
        const std::set<member::member_ref> distinct{
            chosen.begin(), chosen.end()};
        RC_ASSERT(distinct.size() == chosen.size());
        RC_ASSERT(!distinct.contains(ref(1)));
        // Twelve hosts are at least two per failure domain of three regions.
        if (count >= 12 && regions > 1) {
            RC_ASSERT(
                member::count_covered_localities(where, chosen, members) ==
                member::guardian_count
            );
        }
    });
}

TEST_CASE(
    "A lost answer to a write of the own row is resolved by a read", "[member]"
) {
    member::member_record record;
    record.self = ref(1);
    member::own_row row{{platform::row_version{4}, record}, {}, {}, false};
    record.generation = guardian_generation{1};
    const platform::operation_id call{1};
    (void)member::submit_write(row, record, call, start_of_test);
    const platform::transaction_done lost{
        call, {platform::commit_status::unknown, {}}};
    CHECK(member::handle_commit(row, lost) == member::row_change::none);
    CHECK(row.must_read);
    // An unchanged row doesn't show that the write failed, as it may still
    // take effect: it stays pending.
    const member::member_row unchanged = row.confirmed;
    CHECK(member::handle_row(row, unchanged) == member::row_change::none);
    CHECK(row.pending);
    const member::member_row written{platform::row_version{5}, record};
    CHECK(member::handle_row(row, written) == member::row_change::confirmed);
    CHECK(!row.pending);
}

} // namespace apricotstile::tests

// Guards against callers that keep all others out by sending or reading
// nothing, and against closing connections on which a message moves.

#include <apricotstile/serving/caller_eviction.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::serving;
using namespace std::chrono_literals;

namespace {

caller_use use_of(
    std::uint64_t id, caller_state state, std::size_t bytes, duration stalled
) {
    return {caller_id{id}, state, bytes, stalled};
}

} // namespace

TEST_CASE(
    "stalled requests make room, those that hold most first",
    "[serving][eviction]"
) {
    const std::vector<caller_use> callers{
        use_of(1, caller_state::sending, 100, 2s),
        use_of(2, caller_state::sending, 5'000, 2s),
        use_of(3, caller_state::sending, 3'000, 2s)};
    CHECK(evict_for_memory(callers, 4'000, {}) == std::vector{caller_id{2}});
    CHECK(
        evict_for_memory(callers, 6'000, {}) ==
        std::vector{caller_id{2}, caller_id{3}}
    );
}

TEST_CASE(
    "nothing is closed in vain or while it moves", "[serving][eviction]"
) {
    const std::vector<caller_use> callers{
        use_of(1, caller_state::sending, 9'000, 500ms),
        use_of(2, caller_state::reading, 9'000, 4s),
        use_of(3, caller_state::waiting, 9'000, 60s),
        use_of(4, caller_state::idle, 10, 0s)};
    CHECK(evict_for_memory(callers, 1'000, {}).empty());
    CHECK(evict_for_memory(callers, 10, {}) == std::vector{caller_id{4}});
}

TEST_CASE(
    "an answer that nobody reads makes room in the end", "[serving][eviction]"
) {
    const std::vector<caller_use> callers{
        use_of(1, caller_state::reading, 9'000, 6s)};
    CHECK(evict_for_memory(callers, 1'000, {}) == std::vector{caller_id{1}});
}

TEST_CASE(
    "a new connection takes the place of the longest idle one",
    "[serving][eviction]"
) {
    std::vector<caller_use> callers{
        use_of(1, caller_state::sending, 0, 9s),
        use_of(2, caller_state::idle, 0, 1s),
        use_of(3, caller_state::idle, 0, 2s),
        use_of(4, caller_state::reading, 0, 90s),
        use_of(5, caller_state::waiting, 0, 90s)};
    CHECK(evict_for_connection(callers, {}) == caller_id{3});
    callers.erase(callers.begin() + 1, callers.begin() + 3);
    CHECK(evict_for_connection(callers, {}) == caller_id{1});
    callers.erase(callers.begin());
    CHECK_FALSE(evict_for_connection(callers, {}));
}

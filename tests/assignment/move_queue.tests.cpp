// Tests of the choice of targets for moves. Guards against slow members that
// delay a rebalancing because moves are queued at them too early, and against
// more simultaneous moves than the limits allow.

#include <apricotstile/assignment/move_queue.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::assignment;
using namespace std::chrono_literals;

namespace {

const service_id registry{"registry"};
const member::member_ref source{host_id{9}, {}};
const member::member_ref fast{host_id{1}, {}};
const member::member_ref slow{host_id{2}, {}};

move_queue queue_of(std::uint32_t moves) {
    move_queue queue;
    queue.move_times[fast.host] = 100ms;
    queue.move_times[slow.host] = 1s;
    for (std::uint32_t i = 0; i < moves; ++i) {
        add_pending(queue, {{registry, slice_id{i}, {}}, source, 1.0, false});
    }
    return queue;
}

std::vector<active_move> bind(move_queue& queue, const move_limits& limits) {
    return bind_moves(
        queue,
        registry,
        {{fast, 0, 100, 1}, {slow, 0, 100, 1}},
        limits,
        instant{} + 10s
    );
}

} // namespace

TEST_CASE("A slow member gets no moves while there are few", "[moves]") {
    move_queue queue = queue_of(4);
    const auto bound = bind(queue, {});
    REQUIRE(bound.size() == 2);
    CHECK(bound[0].to == fast);
    CHECK(bound[1].to == fast);
    CHECK(queue.pending.size() == 2);
}

TEST_CASE("A slow member gets moves when there are many", "[moves]") {
    move_queue queue = queue_of(14);
    const auto bound = bind(queue, {});
    REQUIRE(bound.size() == 3);
    CHECK(bound[2].to == slow);
}

TEST_CASE("Moves are limited by rate and by number", "[moves]") {
    move_queue queue = queue_of(14);
    move_limits limits;
    limits.target_depth = 100;
    SECTION("rate") {
        limits.moves_per_second = 5;
        CHECK(bind(queue, limits).size() == 5);
    }
    SECTION("total number of unfinished moves") {
        limits.active = 3;
        CHECK(bind(queue, limits).size() == 3);
    }
    SECTION("unfinished moves away from one member") {
        limits.source_depth = 4;
        CHECK(bind(queue, limits).size() == 4);
    }
}

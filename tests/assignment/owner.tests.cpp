// The owner's side of moves step by step: giving up, leaving without a
// planner, and settling of a lost answer.

#include <apricotstile/assignment/dispatch.hpp>
#include <apricotstile/assignment/owner.hpp>
#include <tests/support/fake_table.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::assignment;
using namespace std::chrono_literals;

namespace {

const service_id registry{"registry"};
const member::member_ref self{host_id{1}, incarnation{1}};
const member::member_ref other{host_id{2}, incarnation{1}};
const range_id first_slice{registry, slice_id{0}, {}};

/// One owner with a single slice, and the table that holds it.
struct owner_fixture {
    tests::fake_table table;
    assignment_map map;
    owner_state owner;
    random_source random{1};
    instant now;
    owner_actions actions;

    explicit owner_fixture(const member::member_ref& next_owner) {
        map_change change;
        change.version = map_version{1};
        set_assignment(
            change, first_slice, 1, {self, fencing_token{7}, next_owner}
        );
        const auto work = prepare_change({}, change);
        static_cast<void>(commit(this->table, work));
        apply_change(this->map, change);
        this->owner.self = self;
        this->feed(owner_map_changed{});
    }

    void feed(const owner_event& event) {
        for (auto& one :
             step(this->owner, this->map, event, this->now, this->random)) {
            this->actions.push_back(std::move(one));
        }
    }

    void tick_after(duration time) {
        this->now += time;
        this->feed(owner_tick{});
    }

    /// The latest action of the kind, or nothing.
    template <class Action>
    const Action* latest() const {
        const Action* found = nullptr;
        for (const owner_action& one : this->actions) {
            if (const auto* action = std::get_if<Action>(&one)) {
                found = action;
            }
        }
        return found;
    }

    void drain() {
        const auto* stop = this->latest<stop_dispatching>();
        REQUIRE(stop != nullptr);
        this->feed(range_drained{stop->range, stop->attempt});
    }

    /// Answers reads until the owner asks for something else.
    void answer_reads() {
        while (this->owner.reader.status == reader_status::reading) {
            const auto read = *this->latest<platform::read_rows>();
            this->feed(platform::rows_read{
                read.id, read_prefix(this->table, read.prefix)});
        }
    }

    dispatch_verdict verdict() const {
        const dispatch_view view{this->map, this->owner, this->now + 1s};
        return decide_dispatch(view, registry, "any", this->now).verdict;
    }
};

} // namespace

TEST_CASE("a drain that doesn't finish is given up", "[owner]") {
    owner_fixture world{other};
    REQUIRE(world.latest<stop_dispatching>() != nullptr);
    CHECK(world.verdict() == dispatch_verdict::drained);
    world.tick_after(drain_limit);
    CHECK(world.latest<resume_dispatching>() != nullptr);
    CHECK(world.verdict() == dispatch_verdict::serve);
    world.tick_after(1s);
    CHECK(world.owner.releases.empty());
}

TEST_CASE("a drain of an earlier attempt doesn't count", "[owner]") {
    owner_fixture world{other};
    const auto attempt = world.latest<stop_dispatching>()->attempt;
    world.feed(range_drained{first_slice, attempt + 1});
    CHECK(world.latest<platform::read_rows>() == nullptr);
}

TEST_CASE("a leaving daemon chooses targets without a planner", "[owner]") {
    owner_fixture world{{}};
    member::member_record record;
    record.self = other;
    record.services = {{registry, 16, true, 1}};
    world.feed(owner_members_changed{{record}});
    world.feed(leave_requested{});
    CHECK(world.latest<stop_dispatching>() == nullptr);
    world.tick_after(planner_wait);
    world.drain();
    world.answer_reads();
    const auto sent = *world.latest<platform::submit_transaction>();
    world.feed(platform::transaction_done{
        sent.id, commit(world.table, sent.work)});
    world.tick_after(50ms);
    CHECK(world.latest<range_released>()->to == other);
    CHECK(world.latest<all_released>() != nullptr);
    CHECK(world.verdict() == dispatch_verdict::drained);
}

TEST_CASE("a lost answer keeps the range from being served", "[owner]") {
    owner_fixture world{other};
    world.drain();
    world.answer_reads();
    const auto sent = *world.latest<platform::submit_transaction>();
    world.feed(platform::transaction_done{
        sent.id, {platform::commit_status::unknown, {}}});
    world.answer_reads();
    // Nothing has changed in the table, but the write may still come.
    world.tick_after(drain_limit - 6s);
    world.answer_reads();
    CHECK(world.verdict() == dispatch_verdict::drained);
    SECTION("it took effect after all") {
        static_cast<void>(commit(world.table, sent.work));
        world.tick_after(1s);
        world.answer_reads();
        CHECK(world.latest<range_released>() != nullptr);
        CHECK(world.verdict() == dispatch_verdict::drained);
    }
    SECTION("it can't take effect any more") {
        world.tick_after(store_write_bound);
        world.answer_reads();
        CHECK(world.latest<range_released>() == nullptr);
        CHECK_FALSE(world.owner.sent.has_value());
    }
}

// Tests of the owner's side of moves: abandoned moves, leaving without a
// planner, and releases whose answer is lost.

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

/// One owner of a single slice, and the table that stores the map.
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

    /// The latest action of this type, or null.
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

    /// Answers reads until the owner's reader has finished.
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

// A request that never finishes must not keep its range unserved forever.
TEST_CASE("a move is abandoned when its drain takes too long", "[owner]") {
    owner_fixture fixture{other};
    REQUIRE(fixture.latest<stop_dispatching>() != nullptr);
    CHECK(fixture.verdict() == dispatch_verdict::drained);
    fixture.tick_after(range_drain_timeout);
    CHECK(fixture.latest<resume_dispatching>() != nullptr);
    CHECK(fixture.verdict() == dispatch_verdict::serve);
    fixture.tick_after(1s);
    CHECK(fixture.owner.releases.empty());
}

// After a cancelled move, a late `range_drained` could release a range that
// has requests in flight again.
TEST_CASE("range_drained of another attempt is ignored", "[owner]") {
    owner_fixture fixture{other};
    const auto attempt = fixture.latest<stop_dispatching>()->attempt;
    fixture.feed(range_drained{first_slice, attempt + 1});
    CHECK(fixture.latest<platform::read_rows>() == nullptr);
}

// Without a planner no targets are planned, and a leaving daemon that waited
// for them would never release its ranges.
TEST_CASE("a leaving daemon chooses targets without a planner", "[owner]") {
    owner_fixture fixture{{}};
    member::member_record record;
    record.self = other;
    record.services = {{registry, 16, true, 1}};
    fixture.feed(owner_members_changed{{record}});
    fixture.feed(leave_requested{});
    CHECK(fixture.latest<stop_dispatching>() == nullptr);
    fixture.tick_after(planner_target_timeout);
    fixture.drain();
    fixture.answer_reads();
    const auto sent = *fixture.latest<platform::submit_transaction>();
    fixture.feed(platform::transaction_done{
        sent.id, commit(fixture.table, sent.work)});
    fixture.tick_after(50ms);
    CHECK(fixture.latest<range_released>()->to == other);
    CHECK(fixture.latest<range_released>()->token == fencing_token{8});
    CHECK(fixture.latest<all_released>() != nullptr);
    CHECK(fixture.verdict() == dispatch_verdict::drained);
}

// After a lost answer the release may have taken effect or may do so later.
// Serving the range before its outcome is known would give it two owners.
TEST_CASE(
    "a range isn't served after its release's answer is lost", "[owner]"
) {
    owner_fixture fixture{other};
    fixture.drain();
    fixture.answer_reads();
    const auto sent = *fixture.latest<platform::submit_transaction>();
    fixture.feed(platform::transaction_done{
        sent.id, {platform::commit_status::unknown, {}}});
    fixture.answer_reads();
    // The table hasn't changed, but the store may still execute the write.
    fixture.tick_after(range_drain_timeout - 6s);
    fixture.answer_reads();
    CHECK(fixture.verdict() == dispatch_verdict::drained);
    SECTION("the release takes effect late") {
        static_cast<void>(commit(fixture.table, sent.work));
        fixture.tick_after(1s);
        fixture.answer_reads();
        CHECK(fixture.latest<range_released>() != nullptr);
        CHECK(fixture.verdict() == dispatch_verdict::drained);
    }
    SECTION("the release can't take effect any more") {
        fixture.tick_after(max_store_write_delay);
        fixture.answer_reads();
        CHECK(fixture.latest<range_released>() == nullptr);
        CHECK_FALSE(fixture.owner.sent.has_value());
    }
}

// The next owner waits for the record of requests only for a second, and a call
// to the store times out later than that.
TEST_CASE(
    "a release that takes effect without an answer is noticed by a read",
    "[owner]"
) {
    owner_fixture fixture{other};
    fixture.drain();
    fixture.answer_reads();
    const auto sent = *fixture.latest<platform::submit_transaction>();
    static_cast<void>(commit(fixture.table, sent.work));
    fixture.tick_after(100ms);
    fixture.answer_reads();
    CHECK(fixture.latest<range_released>() == nullptr);
    fixture.tick_after(300ms);
    fixture.answer_reads();
    REQUIRE(fixture.latest<range_released>() != nullptr);
    CHECK(fixture.latest<range_released>()->token == fencing_token{8});
}

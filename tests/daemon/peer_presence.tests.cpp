// Links to members that are gone are given up, and no others.

#include <apricotstile/daemon/internal/peer_presence.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::daemon::internal;
using member::member_state;

namespace {

constexpr host_id peer{7};
constexpr host_id self{8};

void list(member_map& members, member_state state, std::uint64_t number) {
    member::member_record record;
    record.self = {peer, incarnation{number}};
    record.state = state;
    members[peer] = record;
}

} // namespace

TEST_CASE("a peer that may own slices hasn't gone", "[daemon]") {
    peer_presence presence;
    member_map members;
    REQUIRE_FALSE(has_gone(presence, members, peer));
    list(members, member_state::active, 3);
    REQUIRE_FALSE(has_gone(presence, members, peer));
    list(members, member_state::draining, 3);
    REQUIRE_FALSE(has_gone(presence, members, peer));
    REQUIRE_FALSE(owns_nothing(members, peer));
}

TEST_CASE("a peer seen before goes when the view drops it", "[daemon]") {
    peer_presence presence;
    member_map members;
    list(members, member_state::active, 3);
    REQUIRE_FALSE(has_gone(presence, members, peer));
    SECTION("deposed") {
        list(members, member_state::deposed, 3);
        REQUIRE(owns_nothing(members, peer));
    }
    SECTION("left") {
        list(members, member_state::left, 3);
        REQUIRE(owns_nothing(members, peer));
    }
    SECTION("replaced by its next incarnation") {
        list(members, member_state::active, 4);
    }
    SECTION("no longer listed") {
        members.clear();
    }
    REQUIRE(has_gone(presence, members, peer));
}

TEST_CASE("a link to a member that joins anew is kept", "[daemon]") {
    // Such a member asks for bulk control before its next incarnation is
    // listed.
    peer_presence presence;
    member_map members;
    list(members, member_state::deposed, 3);
    REQUIRE_FALSE(has_gone(presence, members, peer));
    list(members, member_state::active, 4);
    REQUIRE_FALSE(has_gone(presence, members, peer));
}

TEST_CASE("only other active members can take slices", "[daemon]") {
    member_map members;
    REQUIRE_FALSE(others_active(members, self));
    list(members, member_state::draining, 3);
    REQUIRE_FALSE(others_active(members, self));
    list(members, member_state::active, 3);
    REQUIRE(others_active(members, self));
    REQUIRE_FALSE(others_active(members, peer));
}

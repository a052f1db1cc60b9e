// The list of peers that a daemon is cut off from.

#include <standins/network/blocked_peers.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::standins;

namespace {

constexpr std::uint32_t loopback = 0x7F000001;

} // namespace

TEST_CASE("blocked peers are read one a line", "[standins]") {
    const auto blocked = parse_blocked("127.0.0.1:7001\nnone\n127.0.0.1:7011");
    const std::set<address> expected{{loopback, 7001}, {loopback, 7011}};
    REQUIRE(blocked == expected);
    REQUIRE(parse_blocked("").empty());
}

TEST_CASE("a connection that lost bytes stays silent", "[standins]") {
    blocked_peers peers;
    const address peer{loopback, 7001};
    REQUIRE_FALSE(loses_bytes(peers, 3, peer));
    peers.blocked.insert(peer);
    REQUIRE(loses_bytes(peers, 3, peer));
    peers.blocked.clear();
    // Bytes are missing in its stream, so it can't be used any more.
    REQUIRE(loses_bytes(peers, 3, peer));
    REQUIRE_FALSE(loses_bytes(peers, 4, peer));
}

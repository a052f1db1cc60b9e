// Spreads member rows among daemons: news goes at once to a few peers, and a
// regular comparison with one random peer brings what was missed. The table
// isn't read for it, and a daemon's cost doesn't grow with the members.

#ifndef APRICOTSTILE_MEMBER_GOSSIP_HPP
#define APRICOTSTILE_MEMBER_GOSSIP_HPP

#include <apricotstile/core/codec.hpp>
#include <apricotstile/core/random.hpp>
#include <apricotstile/core/time.hpp>
#include <apricotstile/member/member_set.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace apricotstile::member {

/// To how many peers each daemon passes a row on when it is news.
constexpr std::size_t gossip_fanout = 4;
constexpr duration comparison_interval = std::chrono::seconds{1};

/// Stands for all rows of a set; equal for equal sets in any order.
struct members_hash {
    std::uint64_t value{0};
};

/// Which version of a host's row a daemon has.
struct row_sighting {
    host_id host;
    platform::row_version version;
};

/// All rows that the sender has, by version; asks for newer ones.
struct members_summary {
    std::vector<row_sighting> rows;
};

struct members_rows {
    std::vector<member_row> rows;
};

using gossip_message =
    std::variant<members_hash, members_summary, members_rows>;

struct gossip {
    host_id self;
    /// Peers from the settings, for as long as no member is known.
    std::vector<host_id> seeds;
    instant compare_at;
};

struct send_gossip {
    host_id to;
    gossip_message body;
};

using gossip_actions = std::vector<send_gossip>;

[[nodiscard]] members_hash hash_of(const member_set& members);

/// Compares with one random peer when it is time. Call it often.
[[nodiscard]] gossip_actions tick(
    gossip& state, const member_set& members, instant now, random_source& random
);

/// Passes `news` on to a few random peers.
[[nodiscard]] gossip_actions spread(
    const gossip& state,
    const member_set& members,
    const std::vector<member_row>& news,
    random_source& random
);

/// Answers a comparison. Rows in a `members_rows` message aren't taken here:
/// the caller merges them and spreads what was news.
[[nodiscard]] gossip_actions
answer(const member_set& members, host_id from, const gossip_message& body);

template <class Archive>
void serialize(Archive& archive, members_hash& value) {
    archive(value.value);
}

template <class Archive>
void serialize(Archive& archive, row_sighting& value) {
    archive(value.host, value.version);
}

template <class Archive>
void serialize(Archive& archive, members_summary& value) {
    archive(value.rows);
}

template <class Archive>
void serialize(Archive& archive, members_rows& value) {
    archive(value.rows);
}

} // namespace apricotstile::member

#endif

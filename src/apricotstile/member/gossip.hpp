// Gossip of member rows among daemons: a new row is sent at once to a few
// peers, and a periodic comparison with one random peer recovers missed rows
// (anti-entropy). The table isn't read for it, and the number of messages per
// daemon doesn't grow with the number of members.

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

/// Number of peers to which a daemon forwards a new row.
constexpr std::size_t gossip_fanout = 4;
constexpr duration comparison_interval = std::chrono::seconds{1};

/// Hash of all rows of a set by host and version; independent of their order.
struct member_set_hash {
    std::uint64_t value{0};
};

/// The version of a host's row that a daemon has.
struct host_row_version {
    host_id host;
    platform::row_version version;
};

/// Versions of all rows that the sender has; asks for newer rows.
struct member_set_summary {
    std::vector<host_row_version> rows;
};

struct member_rows {
    std::vector<member_row> rows;
};

using gossip_message =
    std::variant<member_set_hash, member_set_summary, member_rows>;

struct gossip {
    host_id self;
    /// Peers from the settings, used while no other running member is known.
    std::vector<host_id> seeds;
    instant next_comparison;
};

struct send_gossip {
    host_id to;
    gossip_message body;
};

using gossip_actions = std::vector<send_gossip>;

[[nodiscard]] member_set_hash hash_of(const member_set& members);

/// Starts a comparison with one random peer if one is due. To be called more
/// often than every `comparison_interval`.
[[nodiscard]] gossip_actions tick(
    gossip& state, const member_set& members, instant now, random_source& random
);

/// Forwards the new rows `new_rows` to a few random peers.
[[nodiscard]] gossip_actions send_new_rows(
    const gossip& state,
    const member_set& members,
    const std::vector<member_row>& new_rows,
    random_source& random
);

/// Answers a comparison. Rows in a `member_rows` message aren't merged here:
/// the caller merges them and forwards those that were new.
[[nodiscard]] gossip_actions
answer(const member_set& members, host_id from, const gossip_message& body);

template <class Archive>
void serialize(Archive& archive, member_set_hash& value) {
    archive(value.value);
}

template <class Archive>
void serialize(Archive& archive, host_row_version& value) {
    archive(value.host, value.version);
}

template <class Archive>
void serialize(Archive& archive, member_set_summary& value) {
    archive(value.rows);
}

template <class Archive>
void serialize(Archive& archive, member_rows& value) {
    archive(value.rows);
}

} // namespace apricotstile::member

#endif

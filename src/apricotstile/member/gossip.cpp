// Selects peers and answers comparisons.

#include <apricotstile/member/gossip.hpp>

#include <apricotstile/core/hashing.hpp>

#include <algorithm>
#include <array>

namespace apricotstile::member {

namespace {

std::uint64_t hash_of_row(host_id host, platform::row_version version) {
    const std::array<std::uint64_t, 2> pair{host.value, version.value};
    return stable_hash(
        {reinterpret_cast<const char*>(pair.data()), sizeof(pair)}
    );
}

/// The hosts to gossip with: active or draining members, or the seeds if there
/// are none.
std::vector<host_id>
gossip_peers(const gossip& state, const member_set& members) {
    std::vector<host_id> peers;
    for (const auto& [host, row] : members.rows) {
        const bool runs = row.record.state == member_state::active ||
                          row.record.state == member_state::draining;
        if (runs && host != state.self) {
            peers.push_back(host);
        }
    }
    if (peers.empty()) {
        for (const host_id seed : state.seeds) {
            if (seed != state.self) {
                peers.push_back(seed);
            }
        }
    }
    return peers;
}

bool summary_contains(
    const member_set_summary& summary, const member_row& row
) {
    return std::any_of(
        summary.rows.begin(),
        summary.rows.end(),
        [&](const host_row_version& one) {
            return one.host == row.record.self.host &&
                   one.version >= row.version;
        }
    );
}

/// Whether the sender of `summary` has a row that is newer than ours or that is
/// missing here.
bool has_newer(const member_set_summary& summary, const member_set& members) {
    return std::any_of(
        summary.rows.begin(),
        summary.rows.end(),
        [&](const host_row_version& one) {
            const member_row* const ours = find(members, one.host);
            return ours == nullptr || ours->version < one.version;
        }
    );
}

member_set_summary summary_of(const member_set& members) {
    member_set_summary summary;
    for (const auto& [host, row] : members.rows) {
        summary.rows.push_back({host, row.version});
    }
    return summary;
}

gossip_actions answer_summary(
    const member_set& members, host_id from, const member_set_summary& summary
) {
    gossip_actions out;
    member_rows newer;
    for (const auto& [host, row] : members.rows) {
        if (!summary_contains(summary, row)) {
            newer.rows.push_back(row);
        }
    }
    if (!newer.rows.empty()) {
        out.push_back({from, std::move(newer)});
    }
    if (has_newer(summary, members)) {
        out.push_back({from, summary_of(members)});
    }
    return out;
}

} // namespace

member_set_hash hash_of(const member_set& members) {
    member_set_hash result;
    for (const auto& [host, row] : members.rows) {
        result.value ^= hash_of_row(host, row.version);
    }
    return result;
}

gossip_actions tick(
    gossip& state, const member_set& members, instant now, random_source& random
) {
    if (now < state.next_comparison) {
        return {};
    }
    state.next_comparison = now + comparison_interval;
    const std::vector<host_id> peers = gossip_peers(state, members);
    if (peers.empty()) {
        return {};
    }
    const host_id peer = peers[random_below(random, peers.size())];
    return {{peer, hash_of(members)}};
}

gossip_actions send_new_rows(
    const gossip& state,
    const member_set& members,
    const std::vector<member_row>& new_rows,
    random_source& random
) {
    gossip_actions out;
    if (new_rows.empty()) {
        return out;
    }
    std::vector<host_id> peers = gossip_peers(state, members);
    std::shuffle(peers.begin(), peers.end(), random);
    peers.resize(std::min(peers.size(), gossip_fanout));
    for (const host_id peer : peers) {
        out.push_back({peer, member_rows{new_rows}});
    }
    return out;
}

gossip_actions
answer(const member_set& members, host_id from, const gossip_message& body) {
    if (const auto* hash = std::get_if<member_set_hash>(&body)) {
        if (hash->value == hash_of(members).value) {
            return {};
        }
        return {{from, summary_of(members)}};
    }
    if (const auto* summary = std::get_if<member_set_summary>(&body)) {
        return answer_summary(members, from, *summary);
    }
    return {};
}

} // namespace apricotstile::member

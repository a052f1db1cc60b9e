// Takes changes from the bounded history and snapshots from the map's chunks.

#include <apricotstile/assignment/internal/map_answers.hpp>

#include <algorithm>

namespace apricotstile::assignment::internal {

namespace {

constexpr std::size_t max_entries_per_message = 4'096;
constexpr std::size_t chunks_per_part = 16;

std::vector<snapshot_chunk>
chunks_after(const map_follower& follower, map_version base_version) {
    std::vector<snapshot_chunk> parts;
    for (const auto& [service, layout] : follower.head.services) {
        for (std::uint32_t i = 0; i < layout.chunk_versions.size(); ++i) {
            const map_version last_change_version = layout.chunk_versions[i];
            if (last_change_version > base_version) {
                const chunk_id id{service, i};
                parts.push_back(
                    {id, extract_chunk(follower.map, id, last_change_version)}
                );
            }
        }
    }
    return parts;
}

} // namespace

map_changes
changes_after(const map_follower& follower, map_version base_version) {
    map_changes answer;
    std::size_t size = 0;
    for (const map_change& one : follower.history) {
        if (one.version <= base_version) {
            continue;
        }
        size += entry_count(one);
        if (size > max_entries_per_message && !answer.changes.empty()) {
            break;
        }
        answer.changes.push_back(one);
    }
    return answer;
}

std::vector<map_snapshot_part>
snapshot_after(const map_follower& follower, map_version base_version) {
    std::vector<map_snapshot_part> messages;
    auto chunks = chunks_after(follower, base_version);
    const std::size_t count =
        (chunks.size() + chunks_per_part - 1) / chunks_per_part;
    for (std::size_t part = 0; part < count; ++part) {
        map_snapshot_part message;
        message.base_version = base_version;
        message.head = follower.head;
        message.part = static_cast<std::uint32_t>(part);
        message.part_count = static_cast<std::uint32_t>(count);
        const std::size_t first = part * chunks_per_part;
        const std::size_t last =
            std::min(first + chunks_per_part, chunks.size());
        for (std::size_t i = first; i < last; ++i) {
            message.chunks.push_back(std::move(chunks[i]));
        }
        messages.push_back(std::move(message));
    }
    return messages;
}

} // namespace apricotstile::assignment::internal

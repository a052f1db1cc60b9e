// The messages that daemons exchange to keep their maps up to date. The digest
// is also attached to heartbeats.

#ifndef APRICOTSTILE_ASSIGNMENT_MAP_MESSAGES_HPP
#define APRICOTSTILE_ASSIGNMENT_MAP_MESSAGES_HPP

#include <apricotstile/assignment/load_report.hpp>
#include <apricotstile/assignment/map_rows.hpp>

#include <variant>
#include <vector>

namespace apricotstile::assignment {

/// The version of the sender's map and the newest version of the planner's row
/// that the sender knows.
struct map_digest {
    map_version version;
    /// The version of the planner's row; increases with each renewal.
    std::uint64_t planner_beat{0};
    /// Host zero while no planner is known.
    member::member_ref planner;

    friend bool operator==(const map_digest&, const map_digest&) = default;
};

/// Requests all changes after version `base_version`.
struct get_map_changes {
    map_version base_version;
};

/// Changes with consecutive versions.
struct map_changes {
    std::vector<map_change> changes;
};

struct snapshot_chunk {
    chunk_id id;
    map_chunk chunk;
};

/// One of `part_count` messages that together update a map of version
/// `base_version` to the head's version. They contain the chunks that changed
/// after `base_version`.
struct map_snapshot_part {
    map_version base_version;
    map_head head;
    std::uint32_t part{0};
    std::uint32_t part_count{0};
    std::vector<snapshot_chunk> chunks;
};

using map_message = std::variant<
    map_digest,
    get_map_changes,
    map_changes,
    map_snapshot_part,
    load_report>;

template <class Archive>
void serialize(Archive& archive, map_digest& value) {
    archive(value.version, value.planner_beat, value.planner);
}

template <class Archive>
void serialize(Archive& archive, get_map_changes& value) {
    archive(value.base_version);
}

template <class Archive>
void serialize(Archive& archive, map_changes& value) {
    archive(value.changes);
}

template <class Archive>
void serialize(Archive& archive, snapshot_chunk& value) {
    archive(value.id, value.chunk);
}

template <class Archive>
void serialize(Archive& archive, map_snapshot_part& value) {
    archive(value.base_version, value.head, value.part, value.part_count);
    archive(value.chunks);
}

} // namespace apricotstile::assignment

#endif

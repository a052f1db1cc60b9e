// The assignment map as stored in the platform's table: one head row with the
// map's version and one row for each chunk of slices. Every change is one
// transaction, conditional on the head row and on each chunk row that it
// writes, so changes are totally ordered and each increases the map's version
// by one.

#ifndef APRICOTSTILE_ASSIGNMENT_MAP_ROWS_HPP
#define APRICOTSTILE_ASSIGNMENT_MAP_ROWS_HPP

#include <apricotstile/assignment/map_change.hpp>
#include <apricotstile/platform/transaction.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotstile::assignment {

constexpr std::uint32_t slices_per_chunk = 256;

inline constexpr const char* map_rows_prefix = "map/";
inline constexpr const char* map_head_row = "map/head";

/// A group of consecutive slices of a service that is stored in one row.
struct chunk_id {
    service_id service;
    std::uint32_t index{0};

    friend auto operator<=>(const chunk_id&, const chunk_id&) = default;
    friend bool operator==(const chunk_id&, const chunk_id&) = default;
};

struct service_layout {
    std::uint32_t slice_count{0};
    /// For each chunk, the map version that last changed it. Shows a reader
    /// which of its chunks are stale and whether its rows are consistent.
    std::vector<map_version> chunk_versions;

    friend bool
    operator==(const service_layout&, const service_layout&) = default;
};

struct map_head {
    map_version version;
    std::map<service_id, service_layout> services;

    friend bool operator==(const map_head&, const map_head&) = default;
};

struct map_chunk {
    map_version last_change_version;
    std::vector<slice_assignment> slices;
    /// The exceptions whose keys hash to one of the chunk's slices, sorted by
    /// key.
    std::vector<key_exception> exceptions;

    friend bool operator==(const map_chunk&, const map_chunk&) = default;
};

struct stored_chunk {
    platform::row_version row_version;
    map_chunk chunk;
};

/// The head and the chunks that were read, each with its row's version.
struct map_rows {
    /// Zero while the head row is absent.
    platform::row_version head_row_version;
    map_head head;
    std::map<chunk_id, stored_chunk> chunks;
};

[[nodiscard]] std::string chunk_row_key(const chunk_id& id);
[[nodiscard]] chunk_id chunk_of(const range_id& range);

/// The number of chunks needed for `slice_count` slices.
[[nodiscard]] std::uint32_t chunk_count(std::uint32_t slice_count);

/// Updates the head for `change`: adds its new services and sets the versions
/// of the head and of the chunks that the change writes.
void apply_to_head(map_head& head, const map_change& change);

/// The chunks that `change` writes, sorted: those that its entries belong to
/// and all chunks of services that `head` doesn't have yet.
[[nodiscard]] std::vector<chunk_id>
touched_chunks(const map_head& head, const map_change& change);

/// Decodes the head and the chunks among `rows` and stores them in `stored`.
/// Throws `decode_error` for a malformed row.
void absorb(map_rows& stored, const std::vector<platform::row>& rows);

/// The chunks that are missing in `stored`, or whose version differs from the
/// one in the head.
[[nodiscard]] std::vector<chunk_id> stale_chunks(const map_rows& stored);

/// The complete map, or nothing while a chunk is stale.
[[nodiscard]] std::optional<assignment_map> to_map(const map_rows& stored);

/// The assignment of `range` in `stored`, or null if there is none.
[[nodiscard]] const slice_assignment*
find_range(const map_rows& stored, const range_id& range);

/// The transaction that writes `change`. `stored` must hold every chunk that
/// the change writes; the rows of new services are expected to be absent.
[[nodiscard]] platform::transaction
prepare_change(const map_rows& stored, const map_change& change);

/// Applies a committed `change` to `stored`. `result` is the answer to the
/// transaction from `prepare_change` and has the rows' new versions.
void absorb_committed(
    map_rows& stored,
    const map_change& change,
    const platform::commit_result& result
);

/// A copy of chunk `id` of `map`, last changed by version
/// `last_change_version`.
[[nodiscard]] map_chunk extract_chunk(
    const assignment_map& map,
    const chunk_id& id,
    map_version last_change_version
);

/// Replaces the slices and exceptions of chunk `id` in `map` with `chunk`.
void insert_chunk(
    assignment_map& map,
    const chunk_id& id,
    std::uint32_t slice_count,
    const map_chunk& chunk
);

template <class Archive>
void serialize(Archive& archive, chunk_id& value) {
    archive(value.service, value.index);
}

template <class Archive>
void serialize(Archive& archive, service_layout& value) {
    archive(value.slice_count, value.chunk_versions);
}

template <class Archive>
void serialize(Archive& archive, map_head& value) {
    archive(value.version, value.services);
}

template <class Archive>
void serialize(Archive& archive, map_chunk& value) {
    archive(value.last_change_version, value.slices, value.exceptions);
}

} // namespace apricotstile::assignment

#endif

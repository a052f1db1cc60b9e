// The assignment map as it is kept in the platform's table: one head row with
// the map's version and one row for each chunk of slices. Every change is one
// transaction, conditional on the head row and on each chunk row it touches,
// so changes have one order and map versions rise by one.

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

/// One row's worth of a service's slices.
struct chunk_id {
    service_id service;
    std::uint32_t index{0};

    friend auto operator<=>(const chunk_id&, const chunk_id&) = default;
    friend bool operator==(const chunk_id&, const chunk_id&) = default;
};

struct service_layout {
    std::uint32_t slice_count{0};
    /// For each chunk, the map version that last changed it; tells a reader
    /// which of its chunks are old and whether rows belong together.
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
    map_version changed_at;
    std::vector<slice_assignment> slices;
    /// Those whose key hashes to one of the chunk's slices, sorted by key.
    std::vector<key_exception> exceptions;

    friend bool operator==(const map_chunk&, const map_chunk&) = default;
};

struct stored_chunk {
    platform::row_version row;
    map_chunk chunk;
};

/// The head and the chunks that were read, each with its row's version.
struct map_rows {
    /// Zero while the head row is absent.
    platform::row_version head_row;
    map_head head;
    std::map<chunk_id, stored_chunk> chunks;
};

[[nodiscard]] std::string chunk_row_key(const chunk_id& id);
[[nodiscard]] chunk_id chunk_of(const range_id& range);

/// How many chunks hold `slice_count` slices.
[[nodiscard]] std::uint32_t chunk_count(std::uint32_t slice_count);

/// Brings the layout up to `change`: adds its services and marks the chunks
/// that it touches.
void apply_to_head(map_head& head, const map_change& change);

/// The chunks that `change` writes, in order: those it touches and all chunks
/// of services that `head` doesn't have yet.
[[nodiscard]] std::vector<chunk_id>
chunks_of(const map_head& head, const map_change& change);

/// Takes over the head and chunks among `rows`. Throws `decode_error` for a
/// malformed row.
void absorb(map_rows& stored, const std::vector<platform::row>& rows);

/// The chunks by the head of which `stored` has no copy or another one.
[[nodiscard]] std::vector<chunk_id> stale_chunks(const map_rows& stored);

/// The whole map, or nothing while a chunk is stale.
[[nodiscard]] std::optional<assignment_map> to_map(const map_rows& stored);

/// The assignment of `range` by `stored`, or nothing when it isn't there.
[[nodiscard]] const slice_assignment*
find_range(const map_rows& stored, const range_id& range);

/// The transaction that makes `change`. `stored` must hold every chunk that
/// the change touches; those of new services count as absent rows.
[[nodiscard]] platform::transaction
prepare_change(const map_rows& stored, const map_change& change);

/// Takes over `change` and its rows' new versions, as answered to the
/// transaction that `prepare_change` made.
void absorb_committed(
    map_rows& stored,
    const map_change& change,
    const platform::commit_result& result
);

/// The chunk `id` of `map`, marked as changed at `changed_at`.
[[nodiscard]] map_chunk extract_chunk(
    const assignment_map& map, const chunk_id& id, map_version changed_at
);

/// Puts `chunk` in place of its slices and exceptions in `map`.
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
    archive(value.changed_at, value.slices, value.exceptions);
}

} // namespace apricotstile::assignment

#endif

// Reads the map's rows until they form a consistent snapshot: the head first,
// then the chunks that are stale according to the head.

#ifndef APRICOTSTILE_ASSIGNMENT_MAP_READER_HPP
#define APRICOTSTILE_ASSIGNMENT_MAP_READER_HPP

#include <apricotstile/assignment/map_rows.hpp>
#include <apricotstile/platform/operations.hpp>

#include <cstdint>
#include <set>
#include <vector>

namespace apricotstile::assignment {

enum class reader_status : std::uint8_t {
    /// Nothing is being read.
    idle,
    reading,
    /// A read wasn't answered, or the rows stayed inconsistent for too many
    /// rounds; start again later.
    failed
};

struct map_reader {
    map_rows rows;
    reader_status status{reader_status::idle};
    /// The chunks to bring up to date; empty for all of them.
    std::set<chunk_id> wanted_chunks;
    /// Reads not answered yet.
    std::set<platform::operation_id> in_flight;
    /// How often the rows read were inconsistent since `start_reading`.
    std::uint32_t rounds{0};
    /// Starts high so that the reader's ids don't collide with those of its
    /// caller, which count from one.
    platform::operation_id last_id{std::uint64_t{1} << 32};
};

using map_reads = std::vector<platform::read_rows>;

/// Starts to bring `reader.rows` up to date: the head and the `wanted` chunks,
/// or all chunks if `wanted` is empty. Results of reads still in flight will be
/// ignored.
[[nodiscard]] map_reads
start_reading(map_reader& reader, std::set<chunk_id> wanted);

/// Processes a read's result and returns the reads to do next. Results of reads
/// that the reader didn't request are ignored. If `status` is idle afterwards,
/// the wanted rows are consistent.
[[nodiscard]] map_reads
take_rows(map_reader& reader, const platform::rows_read& result);

} // namespace apricotstile::assignment

#endif

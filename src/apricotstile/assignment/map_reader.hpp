// Reading of the map's rows until those read belong together: the head first,
// then the chunks that the head shows to be old.

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
    /// A read wasn't answered; start again later.
    failed
};

struct map_reader {
    map_rows rows;
    reader_status status{reader_status::idle};
    /// Which chunks are wanted; empty for all of them.
    std::set<chunk_id> wanted;
    /// Reads not answered yet.
    std::set<platform::operation_id> in_flight;
    /// How often the rows read didn't belong together in this round.
    std::uint32_t rounds{0};
    /// Starts high so that ids differ from those of the reader's user, which
    /// count from one.
    platform::operation_id last_id{std::uint64_t{1} << 32};
};

using map_reads = std::vector<platform::read_rows>;

/// Begins to bring `reader.rows` up to date: the head and the `wanted`
/// chunks, or every chunk when `wanted` is empty. Reads in flight are
/// forgotten.
[[nodiscard]] map_reads
start_reading(map_reader& reader, std::set<chunk_id> wanted);

/// Takes a read's result; one that the reader didn't ask for is ignored.
/// When `status` is idle afterwards, the wanted rows belong together.
[[nodiscard]] map_reads
take_rows(map_reader& reader, const platform::rows_read& result);

} // namespace apricotstile::assignment

#endif

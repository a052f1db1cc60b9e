// Reads in rounds: the head, the stale chunks, and the head again whenever a
// chunk's version differs from the one in the head.

#include <apricotstile/assignment/map_reader.hpp>

namespace apricotstile::assignment {

namespace {

constexpr std::size_t max_chunk_reads = 32;
constexpr std::uint32_t max_rounds = 16;

platform::read_rows make_read(map_reader& reader, std::string prefix) {
    reader.last_id = next(reader.last_id);
    reader.in_flight.insert(reader.last_id);
    return {reader.last_id, std::move(prefix)};
}

std::vector<chunk_id> wanted_stale_chunks(const map_reader& reader) {
    std::vector<chunk_id> stale = stale_chunks(reader.rows);
    if (!reader.wanted_chunks.empty()) {
        std::erase_if(stale, [&](const chunk_id& id) {
            return !reader.wanted_chunks.contains(id);
        });
    }
    return stale;
}

map_reads read_chunks(map_reader& reader, const std::vector<chunk_id>& ids) {
    if (ids.size() > max_chunk_reads) {
        return {make_read(reader, map_rows_prefix)};
    }
    map_reads reads;
    for (const chunk_id& id : ids) {
        reads.push_back(make_read(reader, chunk_row_key(id)));
    }
    return reads;
}

/// If the head row is absent, the map is empty.
void merge_result(map_reader& reader, const platform::read_result& result) {
    const bool first_answer = reader.rounds == 0;
    if (first_answer && result.rows.empty()) {
        reader.rows = {};
    }
    absorb(reader.rows, result.rows);
}

} // namespace

map_reads start_reading(map_reader& reader, std::set<chunk_id> wanted) {
    reader.wanted_chunks = std::move(wanted);
    reader.in_flight.clear();
    reader.rounds = 0;
    reader.status = reader_status::reading;
    const bool knows_layout =
        reader.rows.head_row_version != platform::row_version{};
    const bool read_all = reader.wanted_chunks.empty() && !knows_layout;
    return {make_read(reader, read_all ? map_rows_prefix : map_head_row)};
}

map_reads take_rows(map_reader& reader, const platform::rows_read& result) {
    if (reader.in_flight.erase(result.id) == 0) {
        return {};
    }
    if (!result.result.answered) {
        reader.in_flight.clear();
        reader.status = reader_status::failed;
        return {};
    }
    merge_result(reader, result.result);
    if (!reader.in_flight.empty()) {
        return {};
    }
    const auto stale = wanted_stale_chunks(reader);
    if (stale.empty()) {
        reader.status = reader_status::idle;
        return {};
    }
    ++reader.rounds;
    if (reader.rounds > max_rounds) {
        reader.status = reader_status::failed;
        return {};
    }
    // Odd rounds read the stale chunks, even rounds a newer head.
    if (reader.rounds % 2 == 1) {
        return read_chunks(reader, stale);
    }
    return {make_read(reader, map_head_row)};
}

} // namespace apricotstile::assignment

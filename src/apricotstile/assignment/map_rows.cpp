// Encodes the map as rows and builds the conditional transaction of a change.

#include <apricotstile/assignment/map_rows.hpp>

#include <apricotstile/core/hashing.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <set>
#include <stdexcept>

namespace apricotstile::assignment {

namespace {

std::uint32_t chunk_length(std::uint32_t slice_count, std::uint32_t index) {
    return std::min(slices_per_chunk, slice_count - index * slices_per_chunk);
}

void apply_key(map_chunk& chunk, const key_change& change) {
    auto& exceptions = chunk.exceptions;
    std::erase_if(exceptions, [&](const key_exception& one) {
        return one.key == change.key;
    });
    if (!change.assignment) {
        return;
    }
    const auto position = std::find_if(
        exceptions.begin(),
        exceptions.end(),
        [&](const key_exception& one) {
            return one.key > change.key;
        }
    );
    exceptions.insert(position, {change.key, *change.assignment});
}

/// Returns the chunk with `change` applied.
map_chunk changed_chunk(
    map_chunk chunk,
    const chunk_id& id,
    const service_change& change,
    map_version version
) {
    chunk.last_change_version = version;
    chunk.slices.resize(chunk_length(change.slice_count, id.index));
    for (const slice_change& one : change.slices) {
        if (one.slice.value / slices_per_chunk == id.index) {
            chunk.slices.at(one.slice.value % slices_per_chunk) =
                one.assignment;
        }
    }
    for (const key_change& one : change.keys) {
        const slice_id slice = slice_of(one.key, change.slice_count);
        if (slice.value / slices_per_chunk == id.index) {
            apply_key(chunk, one);
        }
    }
    return chunk;
}

const service_change&
entry_of(const map_change& change, const service_id& service) {
    for (const service_change& one : change.services) {
        if (one.service == service) {
            return one;
        }
    }
    throw std::logic_error{"the map change has no entry for the service"};
}

stored_chunk stored_or_absent(const map_rows& stored, const chunk_id& id) {
    const auto found = stored.chunks.find(id);
    return found == stored.chunks.end() ? stored_chunk{} : found->second;
}

/// The index of the chunk's first slice within its service.
std::ptrdiff_t first_slice(const chunk_id& id) {
    return std::ptrdiff_t{id.index} * slices_per_chunk;
}

std::map<std::string, chunk_id> chunks_by_row_key(const map_head& head) {
    std::map<std::string, chunk_id> by_row_key;
    for (const auto& [service, layout] : head.services) {
        for (std::uint32_t i = 0; i < layout.chunk_versions.size(); ++i) {
            const chunk_id id{service, i};
            by_row_key.emplace(chunk_row_key(id), id);
        }
    }
    return by_row_key;
}

} // namespace

std::string chunk_row_key(const chunk_id& id) {
    return fmt::format(
        "{}{}/{:05}", map_rows_prefix, id.service.value, id.index
    );
}

chunk_id chunk_of(const range_id& range) {
    return {range.service, range.slice.value / slices_per_chunk};
}

std::uint32_t chunk_count(std::uint32_t slice_count) {
    return (slice_count + slices_per_chunk - 1) / slices_per_chunk;
}

std::vector<chunk_id>
touched_chunks(const map_head& head, const map_change& change) {
    std::set<chunk_id> touched;
    for (const service_change& service : change.services) {
        const bool is_new = !head.services.contains(service.service);
        const std::uint32_t count = chunk_count(service.slice_count);
        for (std::uint32_t i = 0; is_new && i < count; ++i) {
            touched.insert({service.service, i});
        }
        for (const slice_change& one : service.slices) {
            touched.insert(chunk_of({service.service, one.slice, {}}));
        }
        for (const key_change& one : service.keys) {
            const slice_id slice = slice_of(one.key, service.slice_count);
            touched.insert(chunk_of({service.service, slice, {}}));
        }
    }
    return {touched.begin(), touched.end()};
}

void apply_to_head(map_head& head, const map_change& change) {
    const auto touched = touched_chunks(head, change);
    for (const service_change& one : change.services) {
        service_layout& layout = head.services[one.service];
        if (layout.slice_count == 0) {
            layout.slice_count = one.slice_count;
            layout.chunk_versions.resize(chunk_count(one.slice_count));
        }
    }
    for (const chunk_id& id : touched) {
        head.services.at(id.service).chunk_versions.at(id.index) =
            change.version;
    }
    head.version = change.version;
}

void absorb(map_rows& stored, const std::vector<platform::row>& rows) {
    for (const platform::row& one : rows) {
        if (one.key.value == map_head_row) {
            stored.head = decode<map_head>(one.value);
            stored.head_row_version = one.version;
        }
    }
    const auto by_row_key = chunks_by_row_key(stored.head);
    for (const platform::row& one : rows) {
        const auto found = by_row_key.find(one.key.value);
        if (found != by_row_key.end()) {
            stored.chunks[found->second] = {
                one.version, decode<map_chunk>(one.value)};
        }
    }
}

std::vector<chunk_id> stale_chunks(const map_rows& stored) {
    std::vector<chunk_id> stale;
    for (const auto& [service, layout] : stored.head.services) {
        for (std::uint32_t i = 0; i < layout.chunk_versions.size(); ++i) {
            const auto found = stored.chunks.find({service, i});
            const bool current = found != stored.chunks.end() &&
                                 found->second.chunk.last_change_version ==
                                     layout.chunk_versions[i];
            if (!current) {
                stale.push_back({service, i});
            }
        }
    }
    return stale;
}

std::optional<assignment_map> to_map(const map_rows& stored) {
    if (!stale_chunks(stored).empty()) {
        return std::nullopt;
    }
    assignment_map map;
    map.version = stored.head.version;
    for (const auto& [id, one] : stored.chunks) {
        const auto found = stored.head.services.find(id.service);
        if (found != stored.head.services.end()) {
            insert_chunk(map, id, found->second.slice_count, one.chunk);
        }
    }
    return map;
}

const slice_assignment*
find_range(const map_rows& stored, const range_id& range) {
    const auto found = stored.chunks.find(chunk_of(range));
    if (found == stored.chunks.end()) {
        return nullptr;
    }
    const map_chunk& chunk = found->second.chunk;
    if (range.key.empty()) {
        const std::uint32_t position = range.slice.value % slices_per_chunk;
        return position < chunk.slices.size() ? &chunk.slices[position]
                                              : nullptr;
    }
    for (const key_exception& one : chunk.exceptions) {
        if (one.key == range.key) {
            return &one.assignment;
        }
    }
    return nullptr;
}

platform::transaction
prepare_change(const map_rows& stored, const map_change& change) {
    platform::transaction work;
    const platform::row_key head_key{map_head_row};
    map_head head = stored.head;
    apply_to_head(head, change);
    work.conditions.push_back({head_key, stored.head_row_version});
    work.mutations.push_back({head_key, encode(head)});
    for (const chunk_id& id : touched_chunks(stored.head, change)) {
        const stored_chunk before = stored_or_absent(stored, id);
        const platform::row_key key{chunk_row_key(id)};
        work.conditions.push_back({key, before.row_version});
        const map_chunk after = changed_chunk(
            before.chunk, id, entry_of(change, id.service), change.version
        );
        work.mutations.push_back({key, encode(after)});
    }
    return work;
}

void absorb_committed(
    map_rows& stored,
    const map_change& change,
    const platform::commit_result& result
) {
    const auto touched = touched_chunks(stored.head, change);
    apply_to_head(stored.head, change);
    stored.head_row_version = result.versions.at(0);
    std::size_t position = 1;
    for (const chunk_id& id : touched) {
        stored_chunk& one = stored.chunks[id];
        one.chunk = changed_chunk(
            std::move(one.chunk),
            id,
            entry_of(change, id.service),
            change.version
        );
        one.row_version = result.versions.at(position);
        ++position;
    }
}

map_chunk extract_chunk(
    const assignment_map& map,
    const chunk_id& id,
    map_version last_change_version
) {
    map_chunk chunk;
    chunk.last_change_version = last_change_version;
    const service_assignment& service = map.services.at(id.service);
    const auto count = static_cast<std::uint32_t>(service.slices.size());
    const auto first = service.slices.begin() + first_slice(id);
    chunk.slices.assign(first, first + chunk_length(count, id.index));
    for (const key_exception& one : service.exceptions) {
        if (slice_of(one.key, count).value / slices_per_chunk == id.index) {
            chunk.exceptions.push_back(one);
        }
    }
    return chunk;
}

void insert_chunk(
    assignment_map& map,
    const chunk_id& id,
    std::uint32_t slice_count,
    const map_chunk& chunk
) {
    service_assignment& service = map.services[id.service];
    service.slices.resize(slice_count);
    std::copy(
        chunk.slices.begin(),
        chunk.slices.end(),
        service.slices.begin() + first_slice(id)
    );
    std::erase_if(service.exceptions, [&](const key_exception& one) {
        return slice_of(one.key, slice_count).value / slices_per_chunk ==
               id.index;
    });
    service.exceptions.insert(
        service.exceptions.end(),
        chunk.exceptions.begin(),
        chunk.exceptions.end()
    );
    std::sort(
        service.exceptions.begin(),
        service.exceptions.end(),
        [](const key_exception& a, const key_exception& b) {
            return a.key < b.key;
        }
    );
}

} // namespace apricotstile::assignment

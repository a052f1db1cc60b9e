// Fills blocks one after the other.

#include <apricotstile/http/internal/body_buffer.hpp>

#include <algorithm>
#include <utility>

namespace apricotstile::http::internal {

namespace {

/// Large enough for the allocator to return each block to the system.
constexpr std::size_t block_bytes = 1U << 20U;

void add_block(body_buffer& buffer, std::size_t capacity) {
    buffer.blocks.emplace_back();
    buffer.blocks.back().reserve(capacity);
    buffer.capacity += buffer.blocks.back().capacity();
}

void append_to_last(body_buffer& buffer, std::string_view bytes) {
    std::string& last = buffer.blocks.back();
    buffer.capacity -= last.capacity();
    last += bytes;
    buffer.capacity += last.capacity();
    buffer.size += bytes.size();
}

} // namespace

void reserve(body_buffer& buffer, std::size_t length) {
    buffer.is_contiguous = true;
    add_block(buffer, length);
}

void append(body_buffer& buffer, std::string_view bytes) {
    if (buffer.blocks.empty()) {
        add_block(buffer, 0);
    }
    if (buffer.is_contiguous) {
        append_to_last(buffer, bytes);
        return;
    }
    while (!bytes.empty()) {
        const std::size_t used = buffer.blocks.back().size();
        if (used == block_bytes) {
            add_block(buffer, block_bytes);
            continue;
        }
        const std::string_view first = bytes.substr(0, block_bytes - used);
        append_to_last(buffer, first);
        bytes.remove_prefix(first.size());
    }
}

std::string take_all(body_buffer& buffer) {
    std::vector<std::string> blocks = std::move(buffer.blocks);
    const std::size_t size = buffer.size;
    buffer = {};
    if (blocks.empty()) {
        return {};
    }
    if (blocks.size() == 1) {
        return std::move(blocks.front());
    }
    std::string result;
    result.reserve(size);
    for (std::string& one : blocks) {
        result += one;
        std::string{}.swap(one);
    }
    return result;
}

} // namespace apricotstile::http::internal

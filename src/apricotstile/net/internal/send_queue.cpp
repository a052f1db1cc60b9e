// Cuts copied bytes into pieces and drops those that have been sent.

#include <apricotstile/net/internal/send_queue.hpp>

#include <algorithm>

namespace apricotstile::net::internal {

namespace {

constexpr std::size_t max_piece_bytes = 64U << 10U;

std::string_view unsent_part(const send_queue::piece& one) {
    const std::string_view all =
        one.shared.empty() ? std::string_view{one.own} : one.shared.view();
    return all.substr(one.sent);
}

/// Appends to the last piece what fits there. Returns the rest.
std::string_view fill_last_piece(send_queue& queue, std::string_view bytes) {
    if (queue.pieces.empty()) {
        return bytes;
    }
    std::string& last = queue.pieces.back().own;
    if (last.empty() || last.size() >= max_piece_bytes) {
        return bytes;
    }
    const std::size_t added =
        std::min(bytes.size(), max_piece_bytes - last.size());
    queue.copied_bytes -= last.capacity();
    last += bytes.substr(0, added);
    queue.copied_bytes += last.capacity();
    return bytes.substr(added);
}

} // namespace

void push_copy(send_queue& queue, std::string_view bytes) {
    queue.unsent_bytes += bytes.size();
    bytes = fill_last_piece(queue, bytes);
    while (!bytes.empty()) {
        const std::string_view first = bytes.substr(0, max_piece_bytes);
        queue.pieces.push_back({std::string{first}, {}, 0});
        queue.copied_bytes += queue.pieces.back().own.capacity();
        bytes.remove_prefix(first.size());
    }
}

void push_shared(
    send_queue& queue, const shared_bytes& bytes, std::size_t sent
) {
    queue.unsent_bytes += bytes.size() - sent;
    queue.pieces.push_back({{}, bytes, sent});
}

std::vector<std::string_view>
next_unsent(const send_queue& queue, std::size_t max_views) {
    std::vector<std::string_view> result;
    for (const send_queue::piece& one : queue.pieces) {
        if (result.size() == max_views) {
            break;
        }
        result.push_back(unsent_part(one));
    }
    return result;
}

void note_sent(send_queue& queue, std::size_t bytes) {
    queue.unsent_bytes -= bytes;
    while (!queue.pieces.empty()) {
        send_queue::piece& first = queue.pieces.front();
        const std::size_t left = unsent_part(first).size();
        if (bytes < left) {
            first.sent += bytes;
            return;
        }
        bytes -= left;
        if (first.shared.empty()) {
            queue.copied_bytes -= first.own.capacity();
        }
        queue.pieces.pop_front();
    }
}

} // namespace apricotstile::net::internal

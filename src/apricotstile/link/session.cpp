// Frames: a length, an authentication code and a payload.

#include <apricotstile/link/session.hpp>

#include <apricotstile/link/authentication.hpp>

namespace apricotstile::link {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t header_bytes = length_bytes + code_bytes;
constexpr std::size_t max_payload_bytes = 16U << 20U;
constexpr std::size_t max_hello_bytes = 1024;
constexpr unsigned byte_bits = 8;

void append_number(std::string& out, std::uint64_t number, std::size_t bytes) {
    for (std::size_t index = 0; index < bytes; ++index) {
        out += static_cast<char>(number >> (byte_bits * index));
    }
}

std::uint64_t read_number(std::string_view bytes) {
    std::uint64_t number = 0;
    for (std::size_t index = bytes.size(); index > 0; --index) {
        number = (number << byte_bits) |
                 static_cast<unsigned char>(bytes[index - 1]);
    }
    return number;
}

/// What a frame's code covers besides its payload: who sends, on which link
/// and in which position.
std::string
context_of(const hello& sender, const hello& receiver, std::uint64_t number) {
    std::string context = "frame";
    context += sender.nonce;
    context += receiver.nonce;
    append_number(context, number, sizeof number);
    return context;
}

std::string sealed(
    const std::string& key, const std::string& context, std::string_view payload
) {
    std::string bytes;
    append_number(bytes, payload.size(), length_bytes);
    bytes += authentication_code(key, context, payload);
    bytes += payload;
    return bytes;
}

void accept_hello(session& value, const std::string& payload) {
    try {
        value.theirs = decode<hello>(payload);
    } catch (const decode_error&) {
        throw link_error{"the first frame is not a hello"};
    }
    if (value.theirs.nonce == value.mine.nonce ||
        value.theirs.host == host_id{}) {
        throw link_error{"the peer's hello is not its own"};
    }
}

} // namespace

session make_session(std::string key, hello mine) {
    session result;
    result.key = std::move(key);
    result.mine = std::move(mine);
    return result;
}

bool is_open(const session& value) {
    return value.theirs.host != host_id{};
}

std::string hello_bytes(const session& value) {
    return sealed(value.key, "hello", encode(value.mine));
}

std::string frame_bytes(session& value, std::string_view payload) {
    const std::string context =
        context_of(value.mine, value.theirs, value.next_sent);
    ++value.next_sent;
    return sealed(value.key, context, payload);
}

std::vector<std::string> receive(session& value, std::string_view bytes) {
    value.partial += bytes;
    std::vector<std::string> payloads;
    std::size_t start = 0;
    while (value.partial.size() - start >= header_bytes) {
        const std::string_view rest =
            std::string_view{value.partial}.substr(start);
        const std::uint64_t length = read_number(rest.substr(0, length_bytes));
        if (length > (is_open(value) ? max_payload_bytes : max_hello_bytes)) {
            throw link_error{"a frame is too large"};
        }
        if (rest.size() < header_bytes + length) {
            break;
        }
        const std::string_view code = rest.substr(length_bytes, code_bytes);
        const std::string payload{rest.substr(header_bytes, length)};
        const std::string context =
            is_open(value)
                ? context_of(value.theirs, value.mine, value.next_received)
                : "hello";
        if (!same_code(
                code, authentication_code(value.key, context, payload)
            )) {
            throw link_error{"a frame's authentication code is wrong"};
        }
        start += header_bytes + length;
        if (is_open(value)) {
            ++value.next_received;
            payloads.push_back(payload);
        } else {
            accept_hello(value, payload);
        }
    }
    value.partial.erase(0, start);
    return payloads;
}

} // namespace apricotstile::link

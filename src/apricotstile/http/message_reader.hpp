// Incremental reading of HTTP/1.1 messages by Boost.Beast.

#ifndef APRICOTSTILE_HTTP_MESSAGE_READER_HPP
#define APRICOTSTILE_HTTP_MESSAGE_READER_HPP

#include <apricotstile/http/message.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace apricotstile::http {

/// What a reader has after the bytes given to it.
enum class read_progress : std::uint8_t { incomplete, complete, malformed };

/// A request as it came in.
struct received_request {
    std::string method;
    /// Path and query, unchanged.
    std::string target;
    /// In order, without those that concern one connection only.
    std::vector<header> headers;
    std::string body;
    bool keep_alive{true};
};

struct request_limits {
    std::uint32_t header_bytes{16U << 10U};
    std::uint64_t body_bytes{8U << 20U};
};

/// Reads one request after the other from a connection's bytes.
class request_reader {
public:
    explicit request_reader(request_limits limits);
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;
    ~request_reader();

    /// Keeps `bytes` and reads on. Bytes behind a complete request wait until
    /// it is taken.
    read_progress put(std::string_view bytes);
    /// Takes the complete request; the next one may be complete already.
    received_request take();
    [[nodiscard]] read_progress progress() const;
    /// With `malformed`: the status that says why.
    [[nodiscard]] std::uint16_t refusal_status() const;
    /// Whether a request has begun and isn't complete.
    [[nodiscard]] bool has_begun() const;
    /// Whether the header of the request is complete and its body isn't.
    [[nodiscard]] bool in_body() const;
    /// Whether the sender waits for "100 Continue".
    [[nodiscard]] bool expects_continue() const;
    /// Holds from the next request on.
    void set_limits(request_limits limits);

private:
    struct state;
    std::unique_ptr<state> self;
};

/// A response as it came in.
struct received_response {
    std::uint16_t status{0};
    /// In order, without those that concern one connection only.
    std::vector<header> headers;
    std::string body;
    bool keep_alive{true};
    /// From the Keep-Alive header, in seconds.
    std::optional<unsigned> idle_timeout_s;
};

/// Reads the responses of one connection, one exchange after the other.
class response_reader {
public:
    explicit response_reader(std::uint64_t body_limit);
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;
    ~response_reader();

    /// Prepares for the response to a request with this method.
    void expect(std::string_view method);
    read_progress put(std::string_view bytes);
    /// The connection ended in an orderly way.
    read_progress put_end();
    received_response take();
    /// Whether bytes are left behind the response that was taken.
    [[nodiscard]] bool has_unread_bytes() const;
    /// Whether any byte of the present response has come.
    [[nodiscard]] bool has_begun() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

/// The bytes of a request whose headers are sent as given. Adds Content-Length
/// where a body is allowed.
[[nodiscard]] std::string request_bytes(
    std::string_view method,
    std::string_view target,
    const std::vector<header>& headers,
    std::string_view body
);

/// The bytes of a response whose headers are sent as given. Adds
/// Content-Length.
[[nodiscard]] std::string response_bytes(
    std::uint16_t status,
    const std::vector<header>& headers,
    std::string_view body,
    bool close,
    bool head_only
);

/// Whether two header names are the same, in any case.
[[nodiscard]] bool same_name(std::string_view left, std::string_view right);

} // namespace apricotstile::http

#endif

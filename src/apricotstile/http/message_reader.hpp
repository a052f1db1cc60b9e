// Incremental HTTP/1.1 parsers on top of Boost.Beast.

#ifndef APRICOTSTILE_HTTP_MESSAGE_READER_HPP
#define APRICOTSTILE_HTTP_MESSAGE_READER_HPP

#include <apricotstile/core/shared_bytes.hpp>
#include <apricotstile/http/message.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace apricotstile::http {

/// State of the current message.
enum class read_progress : std::uint8_t { incomplete, complete, malformed };

/// A request as it was received.
struct received_request {
    std::string method;
    /// Path and query, unchanged.
    std::string target;
    /// In order, without hop-by-hop headers.
    std::vector<header> headers;
    shared_bytes body;
    bool keep_alive{true};
};

struct request_limits {
    std::uint32_t header_bytes{16U << 10U};
    std::uint64_t body_bytes{8U << 20U};
};

/// Parses the consecutive requests of one connection.
class request_reader {
public:
    explicit request_reader(request_limits limits);
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;
    ~request_reader();

    /// Appends `bytes` to the input and continues parsing. Bytes after a
    /// complete request are parsed once `take` has removed that request.
    read_progress put(std::string_view bytes);
    /// Removes and returns the complete request; the next one may already be
    /// complete then.
    received_request take();
    [[nodiscard]] read_progress progress() const;
    /// With `malformed`: the HTTP status for the error response.
    [[nodiscard]] std::uint16_t refusal_status() const;
    /// Whether a request has been received in part.
    [[nodiscard]] bool has_begun() const;
    /// Whether the headers of the request are complete but its body isn't.
    [[nodiscard]] bool in_body() const;
    /// Bytes received that aren't parsed yet, as a complete request comes
    /// first.
    [[nodiscard]] std::size_t waiting_bytes() const;
    /// Memory of the current request and of the bytes behind it. A body counts
    /// with the length that its sender has stated, before it has arrived.
    [[nodiscard]] std::size_t held_bytes() const;
    /// Whether the sender waits for a "100 Continue" response.
    [[nodiscard]] bool expects_continue() const;
    /// Drops the current request and all bytes behind it; nothing more may be
    /// put.
    void discard();
    /// Drops the bytes that aren't parsed yet.
    void discard_waiting();
    /// Takes effect with the next request.
    void set_limits(request_limits limits);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

/// A response as it was received.
struct received_response {
    std::uint16_t status{0};
    /// In order, without hop-by-hop headers.
    std::vector<header> headers;
    shared_bytes body;
    bool keep_alive{true};
    /// From the Keep-Alive header, in seconds.
    std::optional<unsigned> idle_timeout_s;
};

/// Parses the responses of one connection, one exchange at a time.
class response_reader {
public:
    explicit response_reader(std::uint64_t body_limit);
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;
    ~response_reader();

    /// Must be called before the response to a request with this method; a
    /// response to HEAD has no body.
    void expect(std::string_view method);
    read_progress put(std::string_view bytes);
    /// Signals an orderly shutdown of the connection, which completes a
    /// response without Content-Length.
    read_progress put_end();
    received_response take();
    /// Whether bytes follow the response that was taken.
    [[nodiscard]] bool has_unread_bytes() const;
    /// Memory of the current response and of the bytes behind it.
    [[nodiscard]] std::size_t held_bytes() const;
    /// Whether part of the current response has been received.
    [[nodiscard]] bool has_begun() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

/// Serializes the head of a request, which its body follows. Adds
/// Content-Length if there is a body or the method usually has one.
[[nodiscard]] std::string request_head(
    std::string_view method,
    std::string_view target,
    const std::vector<header>& headers,
    std::size_t body_bytes
);

/// The whole request.
[[nodiscard]] std::string request_bytes(
    std::string_view method,
    std::string_view target,
    const std::vector<header>& headers,
    std::string_view body
);

/// Serializes the head of a response, which its body follows. Adds
/// Content-Length, and Connection if `close` is set.
[[nodiscard]] std::string response_head(
    std::uint16_t status,
    const std::vector<header>& headers,
    std::size_t body_bytes,
    bool close
);

/// Memory that the headers of a message take.
[[nodiscard]] std::size_t memory_of(const std::vector<header>& headers);

/// Compares two header names, ignoring case.
[[nodiscard]] bool same_name(std::string_view left, std::string_view right);

} // namespace apricotstile::http

#endif

// Runs Boost.Beast's parsers on a buffer of received bytes.

#include <apricotstile/http/message_reader.hpp>

#include <apricotstile/http/internal/body_buffer.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

namespace apricotstile::http {

namespace {

namespace beast_http = boost::beast::http;

using request_parser = beast_http::request_parser<internal::collected_body>;
using response_parser = beast_http::response_parser<internal::collected_body>;

constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_body_too_large = 413;
constexpr std::uint16_t status_headers_too_large = 431;
constexpr std::uint16_t status_not_implemented = 501;
constexpr std::uint32_t max_response_header_bytes = 64U << 10U;
constexpr unsigned first_interim_status = 100;
constexpr unsigned first_final_status = 200;
/// Ends HTTP on the connection; no request asks for that.
constexpr unsigned status_switching_protocols = 101;
/// Interim (1xx) responses before a final one.
constexpr unsigned max_interim_responses = 16;

bool is_interim_status(unsigned status) {
    return first_interim_status <= status && status < first_final_status &&
           status != status_switching_protocols;
}

std::string_view to_string_view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

/// Headers that apply to one connection only, or that are generated again when
/// a message is forwarded.
bool is_hop_by_hop(std::string_view name) {
    constexpr std::array<std::string_view, 9> names{
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade"};
    return std::any_of(names.begin(), names.end(), [&](std::string_view one) {
        return same_name(one, name);
    });
}

template <class Fields>
std::vector<header> end_to_end_headers(const Fields& fields) {
    std::vector<header> result;
    for (const auto& field : fields) {
        const std::string_view name = to_string_view(field.name_string());
        if (!is_hop_by_hop(name)) {
            result.push_back(
                {std::string{name}, std::string{to_string_view(field.value())}}
            );
        }
    }
    return result;
}

std::uint16_t error_status(const boost::system::error_code& error) {
    if (error == beast_http::error::header_limit) {
        return status_headers_too_large;
    }
    if (error == beast_http::error::body_limit) {
        return status_body_too_large;
    }
    if (error == beast_http::error::bad_transfer_encoding) {
        return status_not_implemented;
    }
    return status_bad_request;
}

std::optional<unsigned> parse_idle_timeout(std::string_view keep_alive) {
    constexpr std::string_view name{"timeout="};
    const std::size_t at = keep_alive.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    keep_alive.remove_prefix(at + name.size());
    unsigned seconds = 0;
    const auto read = std::from_chars(
        keep_alive.data(), keep_alive.data() + keep_alive.size(), seconds
    );
    if (read.ec != std::errc{}) {
        return std::nullopt;
    }
    return seconds;
}

/// Memory of a header besides its name and value, in the parser and in a list.
constexpr std::size_t header_overhead = 128;

template <class Fields>
std::size_t memory_of_fields(const Fields& fields) {
    std::size_t total = 0;
    for (const auto& field : fields) {
        total +=
            header_overhead + field.name_string().size() + field.value().size();
    }
    return total;
}

/// Bytes that a parser hasn't consumed yet. It leaves an unfinished line or
/// trailer, without a limit of its own in a chunked body.
struct unparsed_bytes {
    std::string received;

    /// Passes what is left and `added` to `parser`. Fails if more than
    /// `max_unfinished` bytes of an unfinished message are left.
    template <class Parser>
    boost::system::error_code
    parse(Parser& parser, std::string_view added, std::size_t max_unfinished) {
        boost::system::error_code error;
        if (this->received.empty()) {
            this->received = added.substr(put_all(parser, added, error));
        } else {
            this->received += added;
            this->remove(put_all(parser, this->received, error));
        }
        if (error == beast_http::error::need_more) {
            error = {};
        }
        if (!error && !parser.is_done() &&
            this->received.size() > max_unfinished) {
            error = beast_http::error::header_limit;
        }
        return error;
    }

    void clear() {
        std::string{}.swap(this->received);
    }

private:
    /// Returns how many of the bytes were consumed.
    template <class Parser>
    static std::size_t put_all(
        Parser& parser, std::string_view bytes, boost::system::error_code& error
    ) {
        std::size_t consumed = 0;
        while (consumed < bytes.size() && !parser.is_done()) {
            const std::string_view rest = bytes.substr(consumed);
            const std::size_t accepted = parser.put(
                boost::asio::buffer(rest.data(), rest.size()), error
            );
            consumed += accepted;
            if (error || accepted == 0) {
                break;
            }
        }
        return consumed;
    }

    void remove(std::size_t consumed) {
        if (consumed == this->received.size()) {
            this->clear();
        } else {
            this->received.erase(0, consumed);
        }
    }
};

} // namespace

bool same_name(std::string_view left, std::string_view right) {
    return boost::beast::iequals(
        {left.data(), left.size()}, {right.data(), right.size()}
    );
}

struct request_reader::implementation {
    request_limits limits;
    std::optional<request_parser> parser;
    unparsed_bytes unparsed;
    read_progress progress{read_progress::incomplete};
    std::uint16_t refusal_status{status_bad_request};
    /// Memory of the current request's headers, once they are complete.
    std::optional<std::size_t> header_memory;

    void restart() {
        this->header_memory.reset();
        this->parser.emplace();
        this->parser->header_limit(this->limits.header_bytes);
        this->parser->body_limit(this->limits.body_bytes);
        this->parser->eager(true);
        this->progress = read_progress::incomplete;
    }

    void parse(std::string_view added) {
        if (this->progress == read_progress::complete) {
            this->unparsed.received += added;
        }
        if (this->progress != read_progress::incomplete) {
            return;
        }
        const boost::system::error_code error = this->unparsed.parse(
            *this->parser, added, this->limits.header_bytes
        );
        if (!this->header_memory && this->parser->is_header_done()) {
            this->header_memory = memory_of_fields(this->parser->get());
        }
        if (error) {
            this->refusal_status = error_status(error);
            this->progress = read_progress::malformed;
        } else if (this->parser->is_done()) {
            this->progress = read_progress::complete;
        }
    }
};

request_reader::request_reader(request_limits limits)
    : impl(std::make_unique<implementation>()) {
    this->impl->limits = limits;
    this->impl->restart();
}

request_reader::~request_reader() = default;

read_progress request_reader::put(std::string_view bytes) {
    this->impl->parse(bytes);
    return this->impl->progress;
}

received_request request_reader::take() {
    const bool keep_alive = this->impl->parser->keep_alive();
    auto message = this->impl->parser->release();
    received_request result;
    result.method = to_string_view(message.method_string());
    result.target = to_string_view(message.target());
    result.headers = end_to_end_headers(message);
    result.body = internal::take_all(message.body());
    result.keep_alive = keep_alive;
    this->impl->restart();
    this->impl->parse({});
    return result;
}

read_progress request_reader::progress() const {
    return this->impl->progress;
}

std::uint16_t request_reader::refusal_status() const {
    return this->impl->refusal_status;
}

bool request_reader::has_begun() const {
    return this->impl->progress == read_progress::incomplete &&
           (this->impl->parser->got_some() ||
            !this->impl->unparsed.received.empty());
}

bool request_reader::in_body() const {
    return this->impl->progress == read_progress::incomplete &&
           this->impl->parser->is_header_done();
}

std::size_t request_reader::waiting_bytes() const {
    return this->impl->unparsed.received.size();
}

std::size_t request_reader::held_bytes() const {
    // The parser allocates a body of stated length with its first byte.
    const std::size_t stated_bytes =
        this->in_body() ? this->impl->parser->content_length().value_or(0) : 0;
    return this->impl->unparsed.received.capacity() +
           this->impl->header_memory.value_or(0) +
           std::max(stated_bytes, this->impl->parser->get().body().capacity);
}

void request_reader::discard() {
    this->impl->unparsed.clear();
    this->impl->restart();
}

void request_reader::discard_waiting() {
    this->impl->unparsed.clear();
}

bool request_reader::expects_continue() const {
    if (!this->in_body()) {
        return false;
    }
    const auto& message = this->impl->parser->get();
    return boost::beast::iequals(
        message[beast_http::field::expect], "100-continue"
    );
}

void request_reader::set_limits(request_limits limits) {
    this->impl->limits = limits;
    if (!this->has_begun() &&
        this->impl->progress == read_progress::incomplete) {
        this->impl->restart();
    }
}

struct response_reader::implementation {
    std::uint64_t body_limit{0};
    bool skip_body{false};
    unsigned interim_responses{0};
    std::optional<response_parser> parser;
    unparsed_bytes unparsed;
    read_progress progress{read_progress::incomplete};

    void restart() {
        this->parser.emplace();
        this->parser->header_limit(max_response_header_bytes);
        this->parser->body_limit(this->body_limit);
        this->parser->eager(true);
        this->parser->skip(this->skip_body);
        this->progress = read_progress::incomplete;
    }

    void parse(std::string_view added) {
        if (this->progress != read_progress::incomplete) {
            this->unparsed.received += added;
            return;
        }
        while (this->progress == read_progress::incomplete) {
            if (this->unparsed.parse(
                    *this->parser, added, max_response_header_bytes
                )) {
                this->progress = read_progress::malformed;
                return;
            }
            added = {};
            const unsigned status = this->parser->get().result_int();
            const bool is_interim = is_interim_status(status);
            if (this->parser->is_header_done() && !is_interim &&
                !is_final_status(status)) {
                this->progress = read_progress::malformed;
                return;
            }
            if (!this->parser->is_done()) {
                return;
            }
            // Skips interim responses, which precede the final one.
            if (is_interim) {
                if (++this->interim_responses > max_interim_responses) {
                    this->progress = read_progress::malformed;
                    return;
                }
                this->restart();
                continue;
            }
            this->progress = read_progress::complete;
        }
    }
};

response_reader::response_reader(std::uint64_t body_limit)
    : impl(std::make_unique<implementation>()) {
    this->impl->body_limit = body_limit;
    this->impl->restart();
}

response_reader::~response_reader() = default;

void response_reader::expect(std::string_view method) {
    this->impl->skip_body = method == "HEAD";
    this->impl->interim_responses = 0;
    this->impl->restart();
}

read_progress response_reader::put(std::string_view bytes) {
    this->impl->parse(bytes);
    return this->impl->progress;
}

read_progress response_reader::put_end() {
    if (this->impl->progress != read_progress::incomplete) {
        return this->impl->progress;
    }
    boost::system::error_code error;
    if (this->impl->parser->got_some()) {
        this->impl->parser->put_eof(error);
    }
    const bool is_complete = !error && this->impl->parser->is_done();
    this->impl->progress =
        is_complete ? read_progress::complete : read_progress::malformed;
    return this->impl->progress;
}

received_response response_reader::take() {
    received_response result;
    result.keep_alive = this->impl->parser->keep_alive();
    auto message = this->impl->parser->release();
    result.status = static_cast<std::uint16_t>(message.result_int());
    result.headers = end_to_end_headers(message);
    result.idle_timeout_s =
        parse_idle_timeout(to_string_view(message[beast_http::field::keep_alive]
        ));
    result.body = internal::take_all(message.body());
    this->impl->restart();
    return result;
}

bool response_reader::has_unread_bytes() const {
    return !this->impl->unparsed.received.empty();
}

std::size_t response_reader::held_bytes() const {
    return this->impl->unparsed.received.capacity() +
           this->impl->parser->get().body().capacity;
}

bool response_reader::has_begun() const {
    return this->impl->parser->got_some();
}

std::size_t memory_of(const std::vector<header>& headers) {
    std::size_t total = 0;
    for (const header& one : headers) {
        total += header_overhead + one.name.size() + one.value.size();
    }
    return total;
}

std::string request_head(
    std::string_view method,
    std::string_view target,
    const std::vector<header>& headers,
    std::size_t body_bytes
) {
    std::string result = fmt::format("{} {} HTTP/1.1\r\n", method, target);
    for (const header& one : headers) {
        fmt::format_to(
            std::back_inserter(result), "{}: {}\r\n", one.name, one.value
        );
    }
    if (body_bytes > 0 || method == "POST" || method == "PUT" ||
        method == "PATCH") {
        fmt::format_to(
            std::back_inserter(result), "Content-Length: {}\r\n", body_bytes
        );
    }
    result += "\r\n";
    return result;
}

std::string request_bytes(
    std::string_view method,
    std::string_view target,
    const std::vector<header>& headers,
    std::string_view body
) {
    std::string result = request_head(method, target, headers, body.size());
    result += body;
    return result;
}

std::string response_head(
    std::uint16_t status,
    const std::vector<header>& headers,
    std::size_t body_bytes,
    bool close
) {
    const auto reason = to_string_view(
        beast_http::obsolete_reason(static_cast<beast_http::status>(status))
    );
    std::string result = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
    for (const header& one : headers) {
        fmt::format_to(
            std::back_inserter(result), "{}: {}\r\n", one.name, one.value
        );
    }
    if (close) {
        result += "Connection: close\r\n";
    }
    fmt::format_to(
        std::back_inserter(result), "Content-Length: {}\r\n\r\n", body_bytes
    );
    return result;
}

} // namespace apricotstile::http

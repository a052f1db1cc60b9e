// The body of a message while it is received, and the type by which
// Boost.Beast's parsers fill it. A body of unknown length is kept in blocks: a
// single string would be copied whenever it grows, and take twice the memory
// meanwhile.

#ifndef APRICOTSTILE_HTTP_INTERNAL_BODY_BUFFER_HPP
#define APRICOTSTILE_HTTP_INTERNAL_BODY_BUFFER_HPP

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace apricotstile::http::internal {

struct body_buffer {
    /// All but the last are full.
    std::vector<std::string> blocks;
    std::size_t size{0};
    /// Memory of all blocks.
    std::size_t capacity{0};
    /// Whether all bytes go into the first block, as their number is known.
    bool is_contiguous{false};
};

/// To be called before the first byte of a body whose length is known.
void reserve(body_buffer& buffer, std::size_t length);

void append(body_buffer& buffer, std::string_view bytes);

/// Moves all bytes into one string; each block is freed as it is copied.
[[nodiscard]] std::string take_all(body_buffer& buffer);

/// Beast's requirements on a body type; the names are Beast's.
struct collected_body {
    using value_type = body_buffer;

    static std::uint64_t size(const value_type& body) {
        return body.size;
    }

    class reader {
    public:
        template <bool is_request, class Fields>
        reader(
            boost::beast::http::header<is_request, Fields>&, value_type& body
        )
            : body(body) {}

        void init(
            const boost::optional<std::uint64_t>& length,
            boost::beast::error_code& error
        ) {
            error = {};
            if (length) {
                reserve(this->body, static_cast<std::size_t>(*length));
            }
        }

        template <class Buffers>
        std::size_t
        put(const Buffers& buffers, boost::beast::error_code& error) {
            error = {};
            std::size_t added = 0;
            for (auto one = boost::asio::buffer_sequence_begin(buffers);
                 one != boost::asio::buffer_sequence_end(buffers);
                 ++one) {
                const boost::asio::const_buffer bytes{*one};
                append(
                    this->body,
                    {static_cast<const char*>(bytes.data()), bytes.size()}
                );
                added += bytes.size();
            }
            return added;
        }

        void finish(boost::beast::error_code& error) {
            error = {};
        }

    private:
        value_type& body;
    };
};

} // namespace apricotstile::http::internal

#endif

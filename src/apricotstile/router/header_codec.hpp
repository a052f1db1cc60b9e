// Headers in few bytes: both ends of a link remember the names and values
// that were sent on it, so that what returns with each request is sent as a
// number. One table stands for one direction of one connection.

#ifndef APRICOTSTILE_ROUTER_HEADER_CODEC_HPP
#define APRICOTSTILE_ROUTER_HEADER_CODEC_HPP

#include <apricotstile/http/message.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricotstile::router {

/// What one direction of a connection has seen; both ends have the same.
struct header_table {
    struct remembered_name {
        std::string name;
        std::vector<std::string> values;
        /// Values that were sent in full.
        std::uint32_t misses{0};
    };

    /// A header's number is its place plus one.
    std::vector<remembered_name> names;
    /// Places by name, for the sending end.
    std::unordered_map<std::string, std::size_t> places;
};

/// A header as it is sent.
struct coded_header {
    /// Zero: `name` is new and takes the next number, or isn't remembered
    /// where the table is full.
    std::uint64_t name_number{0};
    std::string name;
    /// Zero: `value` is sent in full.
    std::uint64_t value_number{0};
    std::string value;
};

/// Codes `headers` and remembers them.
[[nodiscard]] std::vector<coded_header>
encode_headers(header_table& table, const std::vector<http::header>& headers);

/// Decodes what `encode_headers` made with a table in the same state. Throws
/// `decode_error` for numbers that weren't given.
[[nodiscard]] std::vector<http::header>
decode_headers(header_table& table, const std::vector<coded_header>& coded);

} // namespace apricotstile::router

#endif

// Header compression with a dynamic table: both ends of a link keep the names
// and values that were sent on it, and repeated ones are sent as an index into
// the table. Each direction of a connection has its own table.

#ifndef APRICOTSTILE_PEER_HEADER_CODEC_HPP
#define APRICOTSTILE_PEER_HEADER_CODEC_HPP

#include <apricotstile/http/message.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricotstile::peer {

/// Headers that were sent in one direction of a connection. The tables of
/// sender and receiver have the same names and values.
struct header_table {
    struct name_entry {
        std::string name;
        std::vector<std::string> values;
        /// How many values were sent in full.
        std::uint32_t literal_values{0};
    };

    /// The index of a name on the wire is its index here plus one.
    std::vector<name_entry> names;
    /// Indices into `names`; used by the sender only.
    std::unordered_map<std::string, std::size_t> index_by_name;
};

/// A header as it is sent. Indices count from one.
struct encoded_header {
    /// Zero: `name` is sent in full, and both ends add it to their tables
    /// unless they are full.
    std::uint64_t name_index{0};
    std::string name;
    /// Zero: `value` is sent in full.
    std::uint64_t value_index{0};
    std::string value;
};

/// Encodes `headers` and adds them to the table.
[[nodiscard]] std::vector<encoded_header>
encode_headers(header_table& table, const std::vector<http::header>& headers);

/// Decodes the result of `encode_headers` with a table in the same state.
/// Throws `decode_error` for indices that aren't in the table.
[[nodiscard]] std::vector<http::header>
decode_headers(header_table& table, const std::vector<encoded_header>& encoded);

} // namespace apricotstile::peer

#endif

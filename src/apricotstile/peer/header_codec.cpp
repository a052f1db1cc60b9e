// Encoder and decoder of headers. Both update their tables by the same rules.

#include <apricotstile/peer/header_codec.hpp>

#include <apricotstile/core/codec.hpp>

#include <algorithm>

namespace apricotstile::peer {

namespace {

constexpr std::size_t max_names = 64;
constexpr std::size_t max_values = 16;
constexpr std::size_t max_value_bytes = 128;
/// After this many values that weren't in the table, no more values of a name
/// are added, as they seem to differ in each request.
constexpr std::uint32_t max_literal_values = 64;

/// Adds a value that was sent in full to the table, if it has room. Encoder and
/// decoder must make the same choice.
void add_value(header_table::name_entry& name, const std::string& value) {
    ++name.literal_values;
    if (name.values.size() < max_values && value.size() <= max_value_bytes &&
        name.literal_values <= max_literal_values) {
        name.values.push_back(value);
    }
}

encoded_header encode_header(header_table& table, const http::header& header) {
    encoded_header encoded;
    const auto found = table.index_by_name.find(header.name);
    if (found == table.index_by_name.end()) {
        encoded.name = header.name;
        encoded.value = header.value;
        if (table.names.size() < max_names) {
            table.index_by_name.emplace(header.name, table.names.size());
            table.names.push_back({header.name, {}, 0});
            add_value(table.names.back(), header.value);
        }
        return encoded;
    }
    header_table::name_entry& name = table.names[found->second];
    encoded.name_index = found->second + 1;
    const auto value =
        std::find(name.values.begin(), name.values.end(), header.value);
    if (value != name.values.end()) {
        encoded.value_index =
            static_cast<std::uint64_t>(value - name.values.begin()) + 1;
        return encoded;
    }
    encoded.value = header.value;
    add_value(name, header.value);
    return encoded;
}

http::header decode_header(header_table& table, const encoded_header& encoded) {
    if (encoded.name_index == 0) {
        if (table.names.size() < max_names) {
            table.names.push_back({encoded.name, {}, 0});
            add_value(table.names.back(), encoded.value);
        }
        return {encoded.name, encoded.value};
    }
    if (encoded.name_index > table.names.size()) {
        throw decode_error{"header name index in a frame is not in the table"};
    }
    header_table::name_entry& name = table.names[encoded.name_index - 1];
    if (encoded.value_index == 0) {
        add_value(name, encoded.value);
        return {name.name, encoded.value};
    }
    if (encoded.value_index > name.values.size()) {
        throw decode_error{"header value index in a frame is not in the table"};
    }
    return {name.name, name.values[encoded.value_index - 1]};
}

} // namespace

std::vector<encoded_header>
encode_headers(header_table& table, const std::vector<http::header>& headers) {
    std::vector<encoded_header> result;
    result.reserve(headers.size());
    for (const http::header& one : headers) {
        result.push_back(encode_header(table, one));
    }
    return result;
}

std::vector<http::header> decode_headers(
    header_table& table, const std::vector<encoded_header>& encoded
) {
    std::vector<http::header> result;
    result.reserve(encoded.size());
    for (const encoded_header& one : encoded) {
        result.push_back(decode_header(table, one));
    }
    return result;
}

} // namespace apricotstile::peer

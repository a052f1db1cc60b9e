// Encoder and decoder of headers. Both update their tables by the same rules.

#include <apricotstile/router/header_codec.hpp>

#include <apricotstile/core/codec.hpp>

#include <algorithm>

namespace apricotstile::router {

namespace {

constexpr std::size_t max_names = 64;
constexpr std::size_t max_values = 16;
constexpr std::size_t max_value_bytes = 128;
/// After this many values that weren't in the table, no more values of a name
/// are added, as they seem to differ in each request.
constexpr std::uint32_t max_misses = 64;

/// Adds a value that was sent in full to the table, if it has room. Encoder and
/// decoder must make the same choice.
void note_value(header_table::remembered_name& name, const std::string& value) {
    ++name.misses;
    if (name.values.size() < max_values && value.size() <= max_value_bytes &&
        name.misses <= max_misses) {
        name.values.push_back(value);
    }
}

coded_header encode_header(header_table& table, const http::header& header) {
    coded_header coded;
    const auto place = table.places.find(header.name);
    if (place == table.places.end()) {
        coded.name = header.name;
        coded.value = header.value;
        if (table.names.size() < max_names) {
            table.places.emplace(header.name, table.names.size());
            table.names.push_back({header.name, {}, 0});
            note_value(table.names.back(), header.value);
        }
        return coded;
    }
    header_table::remembered_name& name = table.names[place->second];
    coded.name_number = place->second + 1;
    const auto value =
        std::find(name.values.begin(), name.values.end(), header.value);
    if (value != name.values.end()) {
        coded.value_number =
            static_cast<std::uint64_t>(value - name.values.begin()) + 1;
        return coded;
    }
    coded.value = header.value;
    note_value(name, header.value);
    return coded;
}

http::header decode_header(header_table& table, const coded_header& coded) {
    if (coded.name_number == 0) {
        if (table.names.size() < max_names) {
            table.names.push_back({coded.name, {}, 0});
            note_value(table.names.back(), coded.value);
        }
        return {coded.name, coded.value};
    }
    if (coded.name_number > table.names.size()) {
        throw decode_error{"header name index in a frame is not in the table"};
    }
    header_table::remembered_name& name = table.names[coded.name_number - 1];
    if (coded.value_number == 0) {
        note_value(name, coded.value);
        return {name.name, coded.value};
    }
    if (coded.value_number > name.values.size()) {
        throw decode_error{"header value index in a frame is not in the table"};
    }
    return {name.name, name.values[coded.value_number - 1]};
}

} // namespace

std::vector<coded_header>
encode_headers(header_table& table, const std::vector<http::header>& headers) {
    std::vector<coded_header> result;
    result.reserve(headers.size());
    for (const http::header& one : headers) {
        result.push_back(encode_header(table, one));
    }
    return result;
}

std::vector<http::header>
decode_headers(header_table& table, const std::vector<coded_header>& coded) {
    std::vector<http::header> result;
    result.reserve(coded.size());
    for (const coded_header& one : coded) {
        result.push_back(decode_header(table, one));
    }
    return result;
}

} // namespace apricotstile::router

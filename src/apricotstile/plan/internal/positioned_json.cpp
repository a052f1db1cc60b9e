// Builds the tree from the JSON library's parse events, over an iterator that
// counts lines.

#include <apricotstile/plan/internal/positioned_json.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <iterator>

namespace apricotstile::plan::internal {

namespace {

constexpr std::size_t max_depth = 16;

struct line_counter {
    std::uint64_t line{1};
    char last{0};
};

/// The line of the last token. The end of a number is only known when the
/// character after it has been read, which may be a line feed.
std::uint64_t token_line(const line_counter& counter) {
    return counter.last == '\n' ? counter.line - 1 : counter.line;
}

struct counting_iterator {
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    const char* position{nullptr};
    line_counter* counter{nullptr};

    reference operator*() const {
        return *this->position;
    }

    counting_iterator& operator++() {
        this->counter->last = *this->position;
        if (*this->position == '\n') {
            ++this->counter->line;
        }
        ++this->position;
        return *this;
    }

    counting_iterator operator++(int) {
        const counting_iterator before = *this;
        ++*this;
        return before;
    }

    friend bool
    operator==(const counting_iterator& a, const counting_iterator& b) {
        return a.position == b.position;
    }
};

/// Receives the library's parse events; the library defines their names.
class tree_builder {
public:
    using json = nlohmann::json;

    explicit tree_builder(line_counter& lines) : counter{lines} {}

    bool null() {
        return this->add_value(json_kind::null, "null");
    }

    bool boolean(bool value) {
        return this->add_value(json_kind::boolean, value ? "true" : "false");
    }

    bool number_integer(json::number_integer_t value) {
        // Negative; the library reports other integers as unsigned.
        return this->add_value(json_kind::other_number, std::to_string(value));
    }

    bool number_unsigned(json::number_unsigned_t value) {
        this->add_value(json_kind::integer, std::to_string(value));
        this->last->number = value;
        return true;
    }

    bool number_float(json::number_float_t, const json::string_t& text) {
        return this->add_value(json_kind::other_number, text);
    }

    bool string(json::string_t& value) {
        return this->add_value(json_kind::string, std::move(value));
    }

    bool binary(json::binary_t&) {
        return false;
    }

    bool start_object(std::size_t) {
        return this->open_container(json_kind::object);
    }

    bool key(json::string_t& value) {
        this->stack.back()->members.push_back(
            {std::move(value), token_line(this->counter), {}}
        );
        return true;
    }

    bool end_object() {
        return this->close_container();
    }

    bool start_array(std::size_t) {
        return this->open_container(json_kind::array);
    }

    bool end_array() {
        return this->close_container();
    }

    template <class Exception>
    bool parse_error(std::size_t, const std::string&, const Exception& error) {
        throw json_syntax_error{error.what(), token_line(this->counter)};
    }

    json_value root;

private:
    bool add_value(json_kind kind, std::string text) {
        this->last = &this->next_value();
        this->last->kind = kind;
        this->last->line = token_line(this->counter);
        this->last->text = std::move(text);
        return true;
    }

    bool open_container(json_kind kind) {
        if (this->stack.size() == max_depth) {
            throw json_syntax_error{
                "nested too deeply", token_line(this->counter)};
        }
        this->add_value(kind, {});
        this->stack.push_back(this->last);
        return true;
    }

    bool close_container() {
        this->stack.pop_back();
        return true;
    }

    json_value& next_value() {
        if (this->stack.empty()) {
            return this->root;
        }
        json_value& parent = *this->stack.back();
        if (parent.kind == json_kind::object) {
            return parent.members.back().value;
        }
        return parent.elements.emplace_back();
    }

    line_counter& counter;
    json_value* last{nullptr};
    // Open containers, from the root. The pointers stay valid, since only the
    // innermost container grows.
    std::vector<json_value*> stack;
};

} // namespace

json_value parse_positioned(std::string_view text) {
    line_counter counter;
    tree_builder builder{counter};
    const counting_iterator first{text.data(), &counter};
    const counting_iterator last{text.data() + text.size(), &counter};
    nlohmann::json::sax_parse(
        first, last, &builder, nlohmann::json::input_format_t::json, true, true
    );
    return std::move(builder.root);
}

std::string describe(const json_value& value) {
    switch (value.kind) {
    case json_kind::string:
        return "string \"" + value.text + "\"";
    case json_kind::array:
        return "an array";
    case json_kind::object:
        return "an object";
    default:
        return value.text;
    }
}

} // namespace apricotstile::plan::internal

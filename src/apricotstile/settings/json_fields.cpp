// Typed access to JSON fields with problems collected.

#include <apricotstile/settings/json_fields.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace apricotstile::settings {

namespace {

constexpr auto address_form = "a numeric address \"a.b.c.d:port\"";

} // namespace

nlohmann::json parse_json(std::string_view text, const std::string& file) {
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error& error) {
        const auto end =
            text.begin() +
            static_cast<std::ptrdiff_t>(std::min(error.byte, text.size()));
        const auto line = 1 + std::count(text.begin(), end, '\n');
        throw settings_error{
            {{file, fmt::format("line {}", line), "JSON with comments"}}};
    } catch (const nlohmann::json::out_of_range&) {
        throw settings_error{
            {{file, "/", "no number beyond the range of a double"}}};
    }
}

std::string read_text(const std::string& file) {
    std::ifstream stream{file, std::ios::binary};
    if (!stream) {
        throw settings_error{{{file, "line 1", "a readable file"}}};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

json_fields::json_fields(
    const nlohmann::json& object,
    std::string file_name,
    std::string json_path,
    std::vector<problem>& found
)
    : fields(object), file(std::move(file_name)), path(std::move(json_path)),
      problems(found) {
    if (!this->fields.is_object()) {
        this->problems.push_back({this->file, this->path, "an object"});
        this->fields = nlohmann::json::object();
    }
}

void json_fields::add_problem(
    const std::string& key, const std::string& expected
) {
    this->problems.push_back({this->file, this->path + "/" + key, expected});
}

const nlohmann::json* json_fields::find(const std::string& key) {
    this->asked.insert(key);
    const auto found = this->fields.find(key);
    return found == this->fields.end() ? nullptr : &*found;
}

bool json_fields::has(const std::string& key) {
    return this->find(key) != nullptr;
}

bool json_fields::has_value(const std::string& key) {
    const nlohmann::json* const found = this->find(key);
    return found != nullptr && !found->is_null();
}

json_fields json_fields::object(const std::string& key) {
    const nlohmann::json* const found = this->find(key);
    static const nlohmann::json missing;
    return {
        found == nullptr ? missing : *found,
        this->file,
        this->path + "/" + key,
        this->problems};
}

std::string
json_fields::text(const std::string& key, std::size_t least_length) {
    const nlohmann::json* const found = this->find(key);
    if (found == nullptr || !found->is_string() ||
        found->get_ref<const std::string&>().size() < least_length) {
        this->add_problem(
            key, fmt::format("a string of at least {} characters", least_length)
        );
        return {};
    }
    return found->get<std::string>();
}

apricotstile::address json_fields::address(const std::string& key) {
    const nlohmann::json* const found = this->find(key);
    if (found != nullptr && found->is_string()) {
        const auto parsed = parse_address(found->get_ref<const std::string&>());
        if (parsed) {
            return *parsed;
        }
    }
    this->add_problem(key, address_form);
    return {};
}

std::vector<apricotstile::address> json_fields::addresses(const std::string& key
) {
    const nlohmann::json* const found = this->find(key);
    if (found == nullptr || !found->is_array()) {
        this->add_problem(key, fmt::format("a list, each {}", address_form));
        return {};
    }
    std::vector<apricotstile::address> result;
    for (std::size_t index = 0; index < found->size(); ++index) {
        const nlohmann::json& item = (*found)[index];
        const auto parsed = item.is_string()
                                ? parse_address(item.get<std::string>())
                                : std::nullopt;
        if (parsed) {
            result.push_back(*parsed);
        } else {
            this->add_problem(fmt::format("{}/{}", key, index), address_form);
        }
    }
    return result;
}

double
json_fields::number(const std::string& key, double fallback, double most) {
    const nlohmann::json* const found = this->find(key);
    if (found == nullptr) {
        return fallback;
    }
    if (found->is_number()) {
        const auto value = found->get<double>();
        if (value >= 0.0 && value <= most) {
            return value;
        }
    }
    this->add_problem(key, fmt::format("a number from 0 to {}", most));
    return fallback;
}

std::optional<double>
json_fields::optional_number(const std::string& key, double most) {
    const nlohmann::json* const found = this->find(key);
    if (found == nullptr || found->is_null()) {
        return std::nullopt;
    }
    return this->number(key, 0, most);
}

std::string json_fields::word(
    const std::string& key, const std::vector<std::string>& words
) {
    const nlohmann::json* const found = this->find(key);
    if (found == nullptr) {
        return words.front();
    }
    if (found->is_string()) {
        auto value = found->get<std::string>();
        if (std::find(words.begin(), words.end(), value) != words.end()) {
            return value;
        }
    }
    this->add_problem(
        key, fmt::format("one of the words {}", fmt::join(words, ", "))
    );
    return words.front();
}

std::vector<std::string> json_fields::keys() const {
    std::vector<std::string> result;
    for (const auto& item : this->fields.items()) {
        result.push_back(item.key());
    }
    return result;
}

void json_fields::refuse_unknown_keys() {
    for (const std::string& key : this->keys()) {
        if (!this->asked.contains(key)) {
            this->add_problem(key, "no such setting here");
        }
    }
}

} // namespace apricotstile::settings

// Reads logs and records.

#include <standins/check/observed_run.hpp>

#include <nlohmann/json.hpp>

#include <fstream>
#include <map>
#include <stdexcept>

namespace apricotstile::standins {

namespace {

template <class Function>
void for_each_line(const std::string& file, Function&& function) {
    std::ifstream in{file};
    if (!in) {
        throw std::runtime_error("can't read " + file);
    }
    std::string line;
    while (std::getline(in, line)) {
        const auto parsed = nlohmann::json::parse(line, nullptr, false);
        const bool cut_off = parsed.is_discarded();
        if (cut_off && !in.eof()) {
            throw std::runtime_error("malformed line in " + file);
        }
        if (!cut_off) {
            function(parsed);
        }
    }
}

} // namespace

void read_attempts(const std::string& file, observed_run& into) {
    for_each_line(file, [&](const nlohmann::json& line) {
        into.attempts.push_back(parse_attempt(line));
    });
}

void read_executions(const std::string& file, observed_run& into) {
    std::map<std::uint64_t, std::size_t> index_of;
    for_each_line(file, [&](const nlohmann::json& line) {
        const auto id = line.at("execution").get<std::uint64_t>();
        if (is_start_line(line)) {
            index_of[id] = into.executions.size();
            into.executions.push_back(parse_start_line(line));
        } else {
            apply_end_line(into.executions[index_of.at(id)], line);
        }
    });
}

} // namespace apricotstile::standins

// Each line is handed to the kernel at once, so that it survives the process.

#include <standins/upstream/execution_log.hpp>

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace apricotstile::standins {

execution_log::execution_log(const std::string& file) {
    if (file.empty()) {
        return;
    }
    this->out.open(file, std::ios::app);
    if (!this->out) {
        throw std::runtime_error("can't open " + file);
    }
}

void execution_log::started(const execution& one) {
    this->executions[work_id{one.id}] = one;
    this->append(start_line(one));
}

void execution_log::ended(work_id id, instant at, execution_end how) {
    execution& one = this->executions.at(id);
    one.ended = at;
    one.end = how;
    this->append(end_line(one));
}

std::string execution_log::to_json() const {
    nlohmann::json listed = nlohmann::json::array();
    for (const auto& [id, one] : this->executions) {
        nlohmann::json shown = start_line(one);
        if (one.ended) {
            shown.update(end_line(one));
        }
        listed.push_back(std::move(shown));
    }
    return listed.dump();
}

void execution_log::append(const nlohmann::json& line) {
    if (this->out.is_open()) {
        this->out << line.dump() << '\n' << std::flush;
    }
}

} // namespace apricotstile::standins

// The executions of one run, in memory and in a file that outlives it.

#ifndef APRICOTSTILE_STANDINS_UPSTREAM_EXECUTION_LOG_HPP
#define APRICOTSTILE_STANDINS_UPSTREAM_EXECUTION_LOG_HPP

#include <standins/upstream/execution.hpp>
#include <standins/upstream/work_item.hpp>

#include <fstream>
#include <map>
#include <string>

namespace apricotstile::standins {

class execution_log {
public:
    /// Appends to `file`, unless it is empty; throws std::runtime_error when
    /// the file can't be opened.
    explicit execution_log(const std::string& file);

    void started(const execution& one);
    void ended(work_id id, instant at, execution_end how);

    /// Every execution as a JSON array, complete ones with both lines merged.
    [[nodiscard]] std::string to_json() const;

private:
    void append(const nlohmann::json& line);

    std::map<work_id, execution> executions;
    std::ofstream out;
};

} // namespace apricotstile::standins

#endif

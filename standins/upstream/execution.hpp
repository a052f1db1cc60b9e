// The record of one execution, which the demo's counts come from.

#ifndef APRICOTSTILE_STANDINS_UPSTREAM_EXECUTION_HPP
#define APRICOTSTILE_STANDINS_UPSTREAM_EXECUTION_HPP

#include <apricotstile/core/time.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace apricotstile::standins {

struct work_item;

enum class execution_end : std::uint8_t {
    /// Ran to its end and had its answer written whole.
    answered,
    /// Ran to its end, but its connection was gone.
    answer_lost,
    cancelled,
    deadline_passed
};

struct execution {
    /// Counted by one run of the upstream.
    std::uint64_t id{0};
    /// The upstream's address.
    std::string upstream;
    std::string request_name;
    std::string call;
    /// The caller's Idempotency-Key, or empty.
    std::string caller_key;
    std::string customer;
    std::string service;
    std::string key;
    std::uint32_t slice{0};
    std::uint64_t token{0};
    instant started{};
    /// Empty while it runs, and for good when the process was lost.
    std::optional<instant> ended;
    std::optional<execution_end> end;
};

[[nodiscard]] execution begin_execution(
    const work_item& item, const std::string& upstream, instant now
);

/// Two lines make up one execution: one as it starts and one as it ends.
[[nodiscard]] nlohmann::json start_line(const execution& one);
[[nodiscard]] nlohmann::json end_line(const execution& one);

/// Throws an exception of the JSON library for other lines.
[[nodiscard]] bool is_start_line(const nlohmann::json& line);
[[nodiscard]] execution parse_start_line(const nlohmann::json& line);
/// Completes `one` by its second line.
void apply_end_line(execution& one, const nlohmann::json& line);

} // namespace apricotstile::standins

#endif

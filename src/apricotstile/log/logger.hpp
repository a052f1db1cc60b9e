// Structured log lines on standard output: a level, the part's fixed prefix, a
// short sentence and key=value fields.

#ifndef APRICOTSTILE_LOG_LOGGER_HPP
#define APRICOTSTILE_LOG_LOGGER_HPP

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace apricotstile::log {

enum class level : std::uint8_t { debug, info, warning, error };

/// One key=value pair of a line.
struct field {
    std::string_view key;
    std::string value;
};

/// Lines below `lowest` are dropped. Safe from any thread.
void set_level(level lowest);

/// Writes one line, for example
/// `2026-12-03T10:00:00.000Z info [lease] Lease renewed. host=1 left_ms=900`.
/// Values with spaces or quotes are quoted. Safe from any thread; a line is
/// dropped and counted when the writer can't keep up, or when a second has
/// had its number of them.
void write(
    level severity,
    std::string_view prefix,
    std::string_view sentence,
    std::initializer_list<field> fields = {}
);

/// How many lines were dropped so far.
[[nodiscard]] std::uint64_t dropped_lines();

/// Runs the thread that writes lines to standard output for as long as it
/// lives. Lines written while none lives go out at once.
class writer_thread {
public:
    writer_thread();
    writer_thread(const writer_thread&) = delete;
    writer_thread& operator=(const writer_thread&) = delete;
    /// Writes what is left, then stops.
    ~writer_thread();
};

} // namespace apricotstile::log

#endif

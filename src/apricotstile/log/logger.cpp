// The log's bounded queue and its writer thread.

#include <apricotstile/log/logger.hpp>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <deque>
#include <mutex>
#include <thread>

namespace apricotstile::log {

namespace {

constexpr std::size_t max_waiting_lines = 8192;
/// Of a field. Callers choose some of the values, and the lines that wait
/// count toward the process's memory.
constexpr std::size_t max_value_bytes = 256;
/// Lines below a warning in one second; what is beyond is left out and
/// counted, so that failures are kept before successes.
constexpr std::uint32_t max_minor_lines = 200;
/// All lines in one second.
constexpr std::uint32_t max_lines = 1000;

struct log_queue {
    std::mutex mutex;
    std::condition_variable wake;
    /// At most `max_waiting_lines`, guarded by `mutex`.
    std::deque<std::string> lines;
    bool has_writer{false};
    bool stopping{false};
    std::thread writer;
    /// The second that `lines_in_second` counts, guarded by `mutex`.
    std::int64_t second{0};
    std::uint32_t lines_in_second{0};
    std::uint32_t left_out{0};
    std::atomic<level> lowest{level::info};
    std::atomic<std::uint64_t> dropped{0};
};

log_queue& queue() {
    static log_queue instance;
    return instance;
}

std::string_view name_of(level severity) {
    constexpr std::array<std::string_view, 4> names{
        "debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(severity));
}

bool needs_quotes(std::string_view value) {
    return value.empty() ||
           value.find_first_of(" \"\\\n\r\t=") != std::string_view::npos;
}

std::string quoted(std::string_view value) {
    std::string out{"\""};
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            out += '\\';
            out += character;
        } else if (static_cast<unsigned char>(character) < ' ') {
            out += fmt::format("\\x{:02x}", static_cast<int>(character));
        } else {
            out += character;
        }
    }
    out += '"';
    return out;
}

std::string shortened(const std::string& value) {
    return value.size() <= max_value_bytes
               ? value
               : value.substr(0, max_value_bytes) + "...";
}

std::string timestamp() {
    const auto now = std::chrono::system_clock::now();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                            now.time_since_epoch()
                        ) %
                        std::chrono::seconds{1};
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    return fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), millis.count()
    );
}

void print(const std::string& line) {
    std::fwrite(line.data(), 1, line.size(), stdout);
}

/// Counts a line and tells whether it is to be written. Appends a line about
/// those that were left out to `notice` at the turn of a second.
bool admit(log_queue& shared, level severity, std::string& notice) {
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::steady_clock::now().time_since_epoch()
    );
    if (now.count() != shared.second) {
        if (shared.left_out > 0) {
            notice = fmt::format(
                "{} warning [log] Lines were left out. count={}\n",
                timestamp(),
                shared.left_out
            );
        }
        shared.second = now.count();
        shared.lines_in_second = 0;
        shared.left_out = 0;
    }
    const std::uint32_t most =
        severity < level::warning ? max_minor_lines : max_lines;
    if (shared.lines_in_second >= most) {
        ++shared.left_out;
        shared.dropped.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    ++shared.lines_in_second;
    return true;
}

void run_writer() {
    log_queue& shared = queue();
    std::unique_lock lock{shared.mutex};
    while (true) {
        shared.wake.wait(lock, [&] {
            return shared.stopping || !shared.lines.empty();
        });
        std::deque<std::string> batch;
        batch.swap(shared.lines);
        const bool last = shared.stopping;
        lock.unlock();
        for (const std::string& line : batch) {
            print(line);
        }
        std::fflush(stdout);
        lock.lock();
        if (last && shared.lines.empty()) {
            return;
        }
    }
}

} // namespace

void set_level(level lowest) {
    queue().lowest.store(lowest, std::memory_order_relaxed);
}

std::uint64_t dropped_lines() {
    return queue().dropped.load(std::memory_order_relaxed);
}

void write(
    level severity,
    std::string_view prefix,
    std::string_view sentence,
    std::initializer_list<field> fields
) {
    log_queue& shared = queue();
    if (severity < shared.lowest.load(std::memory_order_relaxed)) {
        return;
    }
    std::string line = fmt::format(
        "{} {} [{}] {}", timestamp(), name_of(severity), prefix, sentence
    );
    for (const field& one : fields) {
        const std::string value = shortened(one.value);
        line += fmt::format(
            " {}={}", one.key, needs_quotes(value) ? quoted(value) : value
        );
    }
    line += '\n';
    {
        const std::lock_guard lock{shared.mutex};
        std::string notice;
        if (!admit(shared, severity, notice)) {
            return;
        }
        line = notice + line;
        if (!shared.has_writer) {
            print(line);
            return;
        }
        if (shared.lines.size() >= max_waiting_lines) {
            shared.dropped.fetch_add(1, std::memory_order_relaxed);
            return;
        }
        shared.lines.push_back(std::move(line));
    }
    shared.wake.notify_one();
}

writer_thread::writer_thread() {
    log_queue& shared = queue();
    const std::lock_guard lock{shared.mutex};
    shared.has_writer = true;
    shared.stopping = false;
    shared.writer = std::thread{run_writer};
}

writer_thread::~writer_thread() {
    log_queue& shared = queue();
    {
        const std::lock_guard lock{shared.mutex};
        shared.stopping = true;
        shared.has_writer = false;
    }
    shared.wake.notify_one();
    shared.writer.join();
}

} // namespace apricotstile::log

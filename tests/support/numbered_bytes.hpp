// A text in which each place differs, so that bytes that are lost, repeated or
// reordered show.

#ifndef APRICOTSTILE_TESTS_SUPPORT_NUMBERED_BYTES_HPP
#define APRICOTSTILE_TESTS_SUPPORT_NUMBERED_BYTES_HPP

#include <cstddef>
#include <string>

namespace apricotstile::tests {

/// `count` bytes: the lines are the numbers of their places, from `first` on.
[[nodiscard]] inline std::string
numbered_bytes(std::size_t count, std::size_t first = 0) {
    std::string result;
    while (result.size() < count) {
        result += std::to_string(first + result.size()) + "\n";
    }
    result.resize(count);
    return result;
}

} // namespace apricotstile::tests

#endif

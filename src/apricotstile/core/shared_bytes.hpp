// Immutable bytes with several owners: the body of a message is in memory once,
// however many parts of the process refer to it.

#ifndef APRICOTSTILE_CORE_SHARED_BYTES_HPP
#define APRICOTSTILE_CORE_SHARED_BYTES_HPP

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace apricotstile {

class shared_bytes {
public:
    /// No bytes.
    shared_bytes() = default;

    // Conversions are implicit, so that a text can be passed as a body.
    shared_bytes(std::string bytes)
        : owned(
              bytes.empty()
                  ? nullptr
                  : std::make_shared<const std::string>(std::move(bytes))
          ) {}

    shared_bytes(const char* text) : shared_bytes(std::string{text}) {}

    /// `bytes` may also own what accounts for them; null means no bytes.
    explicit shared_bytes(std::shared_ptr<const std::string> bytes)
        : owned(std::move(bytes)) {}

    [[nodiscard]] std::string_view view() const {
        return this->owned ? std::string_view{*this->owned}
                           : std::string_view{};
    }

    operator std::string_view() const {
        return this->view();
    }

    [[nodiscard]] std::size_t size() const {
        return this->view().size();
    }

    [[nodiscard]] bool empty() const {
        return this->view().empty();
    }

    /// Memory that the bytes take, including what is allocated in advance.
    [[nodiscard]] std::size_t capacity() const {
        return this->owned ? this->owned->capacity() : 0;
    }

    /// Null if there are no bytes.
    [[nodiscard]] const std::shared_ptr<const std::string>& pointer() const {
        return this->owned;
    }

    friend bool
    operator==(const shared_bytes& left, const shared_bytes& right) {
        return left.view() == right.view();
    }

private:
    std::shared_ptr<const std::string> owned;
};

} // namespace apricotstile

#endif

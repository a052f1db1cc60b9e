// Strong types for identifiers and counters: two ids of different kinds can't
// be mixed up, compared or added to each other.

#ifndef APRICOTSTILE_CORE_STRONG_ID_HPP
#define APRICOTSTILE_CORE_STRONG_ID_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace apricotstile {

/// An identifier of kind `Tag` held as a `Rep`.
/// A default-constructed id holds the default value of `Rep`.
template <class Tag, class Rep>
struct strong_id {
    using tag_type = Tag;
    using rep_type = Rep;

    Rep value{};

    // The linter takes the zero in a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const strong_id&, const strong_id&) = default;
    friend bool operator==(const strong_id&, const strong_id&) = default;
};

/// The id that follows `id`; for counters such as versions and tokens.
template <class Tag, class Rep>
[[nodiscard]] constexpr strong_id<Tag, Rep> next(strong_id<Tag, Rep> id) {
    ++id.value;
    return id;
}

/// Serializes an id as its bare value (cereal's customization point).
template <class Archive, class Tag, class Rep>
void serialize(Archive& archive, strong_id<Tag, Rep>& id) {
    archive(id.value);
}

} // namespace apricotstile

template <class Tag, class Rep>
struct std::hash<apricotstile::strong_id<Tag, Rep>> {
    std::size_t operator()(const apricotstile::strong_id<Tag, Rep>& id
    ) const noexcept {
        return std::hash<Rep>{}(id.value);
    }
};

#endif

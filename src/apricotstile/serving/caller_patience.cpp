// Counts of the most frequent times.

#include <apricotstile/serving/caller_patience.hpp>

#include <algorithm>

namespace apricotstile::serving {

namespace {

/// Counts are halved at this total, so that a changed habit shows.
constexpr double most_counted = 400;
/// Below this total nothing is usual yet.
constexpr double least_counted = 20;
/// What first attempts say is said by at least this part of all. Returning
/// callers each say another time.
constexpr double usual_part = 0.15;

bool is_rarer(
    const caller_patience::told_time& left,
    const caller_patience::told_time& right
) {
    return left.count < right.count;
}

/// What first attempts say, or nothing while no time is usual.
const caller_patience::told_time* usual_in(const caller_patience& patience) {
    const auto usual = std::max_element(
        patience.often.begin(), patience.often.end(), is_rarer
    );
    if (patience.total < least_counted ||
        usual->count < patience.total * usual_part) {
        return nullptr;
    }
    return &*usual;
}

} // namespace

void note_patience(caller_patience& patience, duration left) {
    ++patience.total;
    const auto known = std::find_if(
        patience.often.begin(),
        patience.often.end(),
        [&](const caller_patience::told_time& one) {
            return one.count > 0 && one.left == left;
        }
    );
    if (known != patience.often.end()) {
        ++known->count;
    } else {
        *std::min_element(
            patience.often.begin(), patience.often.end(), is_rarer
        ) = {left, 1};
    }
    patience.had_usual = patience.had_usual || usual_in(patience) != nullptr;
    if (patience.total >= most_counted) {
        patience.total /= 2;
        for (caller_patience::told_time& one : patience.often) {
            one.count /= 2;
        }
    }
}

duration
time_since_first_attempt(const caller_patience& patience, duration left) {
    const caller_patience::told_time* const usual = usual_in(patience);
    return usual == nullptr ? duration{0}
                            : std::max(duration{0}, usual->left - left);
}

bool is_nested(const caller_patience& patience) {
    return patience.total >= least_counted && !patience.had_usual;
}

} // namespace apricotstile::serving

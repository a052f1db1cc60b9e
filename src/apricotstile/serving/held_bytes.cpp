// Keeps the reservation beside the bytes.

#include <apricotstile/serving/held_bytes.hpp>

#include <apricotstile/serving/memory_reservation.hpp>

#include <memory>
#include <utility>

namespace apricotstile::serving {

namespace {

struct reserved_bytes {
    reserved_bytes(const shared_bytes& bytes, memory_budget& budget)
        : bytes(bytes), reservation(budget) {
        this->reservation.set(bytes.capacity());
    }

    shared_bytes bytes;
    memory_reservation reservation;
};

} // namespace

shared_bytes hold(const shared_bytes& bytes, memory_budget& budget) {
    if (bytes.empty()) {
        return {};
    }
    auto owner = std::make_shared<const reserved_bytes>(bytes, budget);
    const std::string* const text = owner->bytes.pointer().get();
    return shared_bytes{
        std::shared_ptr<const std::string>{std::move(owner), text}};
}

} // namespace apricotstile::serving

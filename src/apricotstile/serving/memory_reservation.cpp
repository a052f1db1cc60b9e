// Keeps the sum in the budget.

#include <apricotstile/serving/memory_reservation.hpp>

#include <apricotstile/serving/memory_budget.hpp>

namespace apricotstile::serving {

memory_reservation::memory_reservation(memory_budget& budget)
    : budget(budget) {}

memory_reservation::~memory_reservation() {
    this->set(0);
}

void memory_reservation::set(std::size_t bytes) {
    this->budget.reserved = this->budget.reserved - this->bytes + bytes;
    this->bytes = bytes;
}

} // namespace apricotstile::serving

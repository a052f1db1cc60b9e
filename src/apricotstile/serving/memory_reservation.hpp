// A part of a memory budget.

#ifndef APRICOTSTILE_SERVING_MEMORY_RESERVATION_HPP
#define APRICOTSTILE_SERVING_MEMORY_RESERVATION_HPP

#include <cstddef>

namespace apricotstile::serving {

struct memory_budget;

/// Returns its bytes to the budget when it is destroyed.
class memory_reservation {
public:
    /// Of no bytes. `budget` must outlive it.
    explicit memory_reservation(memory_budget& budget);
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    ~memory_reservation();

    /// Replaces the bytes reserved so far.
    void set(std::size_t bytes);

private:
    memory_budget& budget;
    std::size_t bytes{0};
};

} // namespace apricotstile::serving

#endif

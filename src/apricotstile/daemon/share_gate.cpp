// Guards the ingress's shares, which two duties use.

#include <apricotstile/daemon/share_gate.hpp>

namespace apricotstile::daemon {

namespace {

using namespace std::chrono_literals;

constexpr duration no_lists_pause = 1s;

} // namespace

void share_gate::set_book(std::shared_ptr<const plan::plan_book> fresh) {
    const std::lock_guard lock{this->mutex};
    this->book = std::move(fresh);
}

void share_gate::set_self(const member::member_ref& self) {
    const std::lock_guard lock{this->mutex};
    this->state.self = self;
}

share::admission
share_gate::admit(const share::admission_request& request, instant now) {
    const std::lock_guard lock{this->mutex};
    if (this->book == nullptr) {
        share::admission refused;
        refused.status = share::admission_status::refused;
        refused.refusal = request::refusal::unknown_customer;
        refused.retry_after = no_lists_pause;
        return refused;
    }
    return share::admit(this->state, *this->book, request, now);
}

void share_gate::finish(const customer_id& customer) {
    const std::lock_guard lock{this->mutex};
    share::finish(this->state, customer);
}

plan_version share_gate::version() const {
    const std::lock_guard lock{this->mutex};
    return this->book == nullptr ? plan_version{} : this->book->version;
}

std::size_t share_gate::customers() const {
    const std::lock_guard lock{this->mutex};
    return this->state.customers.size();
}

std::vector<share::ingress_action> share_gate::step(
    const share::ingress_event& event,
    const share::owner_lookup& owner_of,
    instant now
) {
    const std::lock_guard lock{this->mutex};
    return share::step(this->state, event, owner_of, now);
}

} // namespace apricotstile::daemon

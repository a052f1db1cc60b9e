// Starting, stopping and asking of duties.

#include <apricotstile/daemon/duty.hpp>

#include <exception>

namespace apricotstile::daemon {

duty::duty(std::string name) : label(std::move(name)) {}

duty::~duty() {
    this->thread.quit();
    this->thread.wait();
}

void duty::start() {
    this->thread.setObjectName(QString::fromStdString(this->label));
    this->loop_context.moveToThread(&this->thread);
    this->thread.start();
    std::exception_ptr failure;
    this->run([&] {
        try {
            this->set_up();
        } catch (...) {
            failure = std::current_exception();
        }
    });
    if (failure) {
        std::rethrow_exception(failure);
    }
}

void duty::stop() {
    if (!this->thread.isRunning()) {
        return;
    }
    this->run([this] {
        this->tear_down();
    });
    this->thread.quit();
    this->thread.wait();
}

void duty::run(const std::function<void()>& work) {
    QMetaObject::invokeMethod(
        &this->loop_context, work, Qt::BlockingQueuedConnection
    );
}

nlohmann::json duty::describe() {
    nlohmann::json result;
    this->run([&] {
        result = this->description();
    });
    return result;
}

const std::string& duty::name() const {
    return this->label;
}

QObject* duty::context() {
    return &this->loop_context;
}

} // namespace apricotstile::daemon

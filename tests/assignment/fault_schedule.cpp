// Generates and runs fault schedules.

#include <tests/assignment/fault_schedule.hpp>

namespace apricotstile::tests {

using namespace std::chrono_literals;

namespace {

void inject_fault(assignment_simulation& simulation, const fault_step& step) {
    switch (step.kind) {
    case fault_kind::store_down:
    case fault_kind::store_up:
        simulation.set_store_down(step.kind == fault_kind::store_down);
        break;
    case fault_kind::answers_lost:
    case fault_kind::answers_delivered:
        simulation.lose_answers(step.kind == fault_kind::answers_lost);
        break;
    case fault_kind::pause:
        simulation.pause(step.daemon);
        break;
    case fault_kind::resume:
        simulation.resume(step.daemon);
        break;
    case fault_kind::isolate:
    case fault_kind::reconnect:
        simulation.set_isolated(step.daemon, step.kind == fault_kind::isolate);
        break;
    case fault_kind::crash_and_depose:
        simulation.crash(step.daemon);
        simulation.depose(step.daemon);
        break;
    case fault_kind::pause_and_depose:
        simulation.pause(step.daemon);
        simulation.depose(step.daemon);
        break;
    case fault_kind::restart:
        simulation.restart(step.daemon);
        break;
    case fault_kind::leave:
        simulation.leave(step.daemon);
        break;
    }
}

} // namespace

std::ostream& operator<<(std::ostream& out, const fault_step& step) {
    return out << "{kind " << static_cast<int>(step.kind) << ", daemon "
               << step.daemon << ", after " << step.wait / 1ms << " ms}";
}

std::ostream& operator<<(std::ostream& out, const fault_schedule& schedule) {
    out << "seed " << schedule.seed << ":";
    for (const auto& step : schedule.steps) {
        out << ' ' << step;
    }
    return out;
}

rc::Gen<fault_schedule> arbitrary_fault_schedule() {
    const auto step = rc::gen::map(
        rc::gen::tuple(
            rc::gen::resize(100, rc::gen::inRange(0, 12)),
            rc::gen::resize(100, rc::gen::inRange(0, 4)),
            rc::gen::resize(100, rc::gen::inRange(1, 1500))
        ),
        [](const std::tuple<int, int, int>& drawn) {
            return fault_step{
                static_cast<fault_kind>(std::get<0>(drawn)),
                static_cast<std::size_t>(std::get<1>(drawn)),
                std::chrono::milliseconds{std::get<2>(drawn)}};
        }
    );
    return rc::gen::map(
        rc::gen::pair(
            rc::gen::resize(100, rc::gen::inRange(0, 1'000'000)),
            rc::gen::container<std::vector<fault_step>>(step)
        ),
        [](const std::pair<int, std::vector<fault_step>>& drawn) {
            return fault_schedule{
                static_cast<std::uint64_t>(drawn.first), drawn.second};
        }
    );
}

std::string
find_violation(const fault_schedule& schedule, const seeded_faults& faults) {
    simulation_options options;
    options.faults = faults;
    assignment_simulation simulation{options, schedule.seed};
    simulation.run_for(3s);
    for (const fault_step& step : schedule.steps) {
        inject_fault(simulation, step);
        simulation.run_for(step.wait);
    }
    if (simulation.violation.empty()) {
        simulation.end_all_faults();
    }
    std::string recovery_failure = "recovery was not checked";
    for (int i = 0; i < 60 && !recovery_failure.empty(); ++i) {
        simulation.run_for(1s);
        recovery_failure = simulation.recovery_failure();
    }
    return simulation.violation.empty() ? recovery_failure
                                        : simulation.violation;
}

} // namespace apricotstile::tests

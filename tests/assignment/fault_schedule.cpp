// Drawing and running of schedules.

#include <tests/assignment/fault_schedule.hpp>

namespace apricotstile::tests {

using namespace std::chrono_literals;

namespace {

void disturb(assignment_world& world, const disturbance_step& step) {
    switch (step.kind) {
    case disturbance::store_down:
    case disturbance::store_up:
        world.set_store(step.kind == disturbance::store_down);
        break;
    case disturbance::answers_lost:
    case disturbance::answers_back:
        world.lose_answers(step.kind == disturbance::answers_lost);
        break;
    case disturbance::pause:
        world.pause(step.daemon);
        break;
    case disturbance::resume:
        world.resume(step.daemon);
        break;
    case disturbance::cut_off:
    case disturbance::join_again:
        world.cut_off(step.daemon, step.kind == disturbance::cut_off);
        break;
    case disturbance::crash_and_depose:
        world.crash(step.daemon);
        world.depose(step.daemon);
        break;
    case disturbance::pause_and_depose:
        world.pause(step.daemon);
        world.depose(step.daemon);
        break;
    case disturbance::restart:
        world.restart(step.daemon);
        break;
    case disturbance::leave:
        world.leave(step.daemon);
        break;
    }
}

} // namespace

std::ostream& operator<<(std::ostream& out, const disturbance_step& step) {
    return out << "{kind " << static_cast<int>(step.kind) << ", daemon "
               << step.daemon << ", after " << step.wait / 1ms << " ms}";
}

std::ostream& operator<<(std::ostream& out, const schedule& plan) {
    out << "seed " << plan.seed << ":";
    for (const auto& step : plan.steps) {
        out << ' ' << step;
    }
    return out;
}

rc::Gen<schedule> schedules() {
    const auto step = rc::gen::map(
        rc::gen::tuple(
            rc::gen::resize(100, rc::gen::inRange(0, 12)),
            rc::gen::resize(100, rc::gen::inRange(0, 4)),
            rc::gen::resize(100, rc::gen::inRange(1, 1500))
        ),
        [](const std::tuple<int, int, int>& drawn) {
            return disturbance_step{
                static_cast<disturbance>(std::get<0>(drawn)),
                static_cast<std::size_t>(std::get<1>(drawn)),
                std::chrono::milliseconds{std::get<2>(drawn)}};
        }
    );
    return rc::gen::map(
        rc::gen::pair(
            rc::gen::resize(100, rc::gen::inRange(0, 1'000'000)),
            rc::gen::container<std::vector<disturbance_step>>(step)
        ),
        [](const std::pair<int, std::vector<disturbance_step>>& drawn) {
            return schedule{
                static_cast<std::uint64_t>(drawn.first), drawn.second};
        }
    );
}

std::string violation_under(const schedule& plan, const seeded_faults& faults) {
    world_options options;
    options.faults = faults;
    assignment_world world{options, plan.seed};
    world.run_for(3s);
    for (const disturbance_step& step : plan.steps) {
        disturb(world, step);
        world.run_for(step.wait);
    }
    if (world.violation.empty()) {
        world.heal();
    }
    std::string unfinished = "not looked at";
    for (int i = 0; i < 60 && !unfinished.empty(); ++i) {
        world.run_for(1s);
        unfinished = world.unfinished();
    }
    return world.violation.empty() ? unfinished : world.violation;
}

} // namespace apricotstile::tests

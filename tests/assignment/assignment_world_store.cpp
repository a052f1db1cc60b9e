// Calls to the simulated table, and execution of the actions of planners,
// owners and followers.

#include <tests/assignment/assignment_world.hpp>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;
using namespace assignment;

constexpr duration outage_answer_delay = 20ms;

} // namespace

void assignment_simulation::set_store_down(bool down) {
    this->table.down = down;
}

void assignment_simulation::lose_answers(bool lost) {
    this->losing_answers = lost;
}

void assignment_simulation::process(
    std::size_t index, const planner_event& event
) {
    simulated_daemon& one = this->daemons[index];
    this->perform(index, step(one.planner, event, this->now, this->random));
}

void assignment_simulation::process(
    std::size_t index, const owner_event& event
) {
    simulated_daemon& one = this->daemons[index];
    this->perform(
        index, step(one.owner, one.follower.map, event, this->now, this->random)
    );
}

void assignment_simulation::process(
    std::size_t index, const follower_event& event
) {
    simulated_daemon& one = this->daemons[index];
    this->perform(index, step(one.follower, event, this->now, this->random));
}

template <class Event>
void assignment_simulation::submit(
    std::size_t index,
    const platform::submit_transaction& request,
    bool conditional,
    bool serves_without_reading
) {
    auto work = request.work;
    if (!conditional) {
        work.conditions.clear();
    }
    const incarnation expected_incarnation =
        this->daemons[index].self.incarnation;
    const bool lost =
        this->losing_answers && random_below(this->random, 2) == 0;
    const auto execute = [this, work] {
        auto result = commit(this->table, work);
        this->check_table();
        return result;
    };
    const auto answer = [this, index, expected_incarnation, id = request.id](
                            duration delay,
                            const platform::commit_result& result
                        ) {
        this->schedule_at_daemon(
            index,
            expected_incarnation,
            delay,
            [this, index, id, result] {
                this->process(
                    index, Event{platform::transaction_done{id, result}}
                );
            }
        );
    };
    if (!lost) {
        const duration reply_delay = this->short_delay();
        this->schedule_event(
            this->short_delay(),
            [execute, answer, reply_delay] {
                answer(reply_delay, execute());
            }
        );
        return;
    }
    const auto write_outcome = random_below(this->random, 4);
    if (write_outcome != 0) {
        // The write takes effect soon, or late, but before the store's bound
        // for writes whose response was lost (5 s).
        const auto late_ms = random_below(this->random, 4'900);
        const duration delay =
            write_outcome == 1 ? duration{std::chrono::milliseconds{late_ms}}
                               : this->short_delay();
        this->schedule_event(delay, [execute] {
            static_cast<void>(execute());
        });
    }
    const duration unknown_reply_delay = this->short_delay() * 3;
    if (serves_without_reading) {
        this->schedule_at_daemon(
            index,
            expected_incarnation,
            unknown_reply_delay,
            [this, index] {
                this->serve_again(index);
            }
        );
        return;
    }
    answer(unknown_reply_delay, {platform::commit_status::unknown, {}});
}

/// Fault of an owner after a lost response: it serves the ranges again without
/// reading whether their release took effect.
void assignment_simulation::serve_again(std::size_t index) {
    owner_state& owner = this->daemons[index].owner;
    if (!owner.sent) {
        return;
    }
    for (const range_id& range : owner.sent->ranges) {
        owner.refused[range] = owner.releases.at(range).to;
        owner.releases.erase(range);
    }
    owner.sent.reset();
}

template <class Event>
void assignment_simulation::read(
    std::size_t index, const platform::read_rows& request
) {
    const incarnation expected_incarnation =
        this->daemons[index].self.incarnation;
    const duration reply_delay = this->short_delay();
    this->schedule_event(
        this->short_delay(),
        [this, index, expected_incarnation, request, reply_delay] {
            const auto result = read_prefix(this->table, request.prefix);
            const duration wait =
                result.answered ? reply_delay : outage_answer_delay;
            this->schedule_at_daemon(
                index,
                expected_incarnation,
                wait,
                [this, index, request, result] {
                    this->process(
                        index, Event{platform::rows_read{request.id, result}}
                    );
                }
            );
        }
    );
}

void assignment_simulation::perform(
    std::size_t index, const planner_actions& actions
) {
    for (const planner_action& action : actions) {
        if (const auto* one = std::get_if<share_change>(&action)) {
            this->check_acknowledged(one->change);
            this->process(index, follower_event{change_committed{one->change}});
        } else if (const auto* map = std::get_if<share_map>(&action)) {
            this->process(index, follower_event{map_was_read{map->rows}});
        } else if (const auto* leader = std::get_if<announce_planner>(&action)) {
            const planner_seen seen{leader->beat, leader->planner};
            this->process(index, follower_event{seen});
        } else if (const auto* write = std::get_if<platform::submit_transaction>(&action)) {
            const bool role =
                write->work.mutations.front().key.value == planner_row_key;
            const bool conditional =
                role || !this->options.faults.planner_not_conditional;
            this->submit<planner_event>(index, *write, conditional, false);
        } else if (const auto* rows = std::get_if<platform::read_rows>(&action)) {
            this->read<planner_event>(index, *rows);
        }
    }
}

void assignment_simulation::perform(
    std::size_t index, const owner_actions& actions
) {
    const seeded_faults& faults = this->options.faults;
    for (const owner_action& action : actions) {
        if (const auto* stop = std::get_if<stop_dispatching>(&action)) {
            this->daemons[index].drains[stop->range] = stop->attempt;
        } else if (const auto* resume = std::get_if<resume_dispatching>(&action)) {
            this->daemons[index].drains.erase(resume->range);
        } else if (const auto* one = std::get_if<share_change>(&action)) {
            this->check_acknowledged(one->change);
            this->process(index, follower_event{change_committed{one->change}});
        } else if (std::get_if<range_released>(&action) != nullptr) {
            ++this->moves;
        } else if (std::get_if<all_released>(&action) != nullptr) {
            auto& record = this->members[this->daemons[index].self.host];
            record.state = member::member_state::left;
            this->send_members();
        } else if (const auto* write = std::get_if<platform::submit_transaction>(&action)) {
            this->submit<owner_event>(
                index,
                *write,
                !faults.release_not_conditional,
                faults.serves_after_lost_answer
            );
        } else if (const auto* rows = std::get_if<platform::read_rows>(&action)) {
            this->read<owner_event>(index, *rows);
        }
    }
    // Drains without a request in flight finish at once, but as an event of
    // their own: the current event must be handled completely first.
    this->schedule_at_daemon(
        index,
        this->daemons[index].self.incarnation,
        duration{0},
        [this, index] {
            this->finish_drains(index);
        }
    );
}

void assignment_simulation::perform(
    std::size_t index, const follower_actions& actions
) {
    for (const follower_action& action : actions) {
        if (const auto* message = std::get_if<send_map_message>(&action)) {
            this->deliver(index, message->to, message->message);
        } else if (const auto* update = std::get_if<publish_map>(&action)) {
            this->check_published(index);
            this->process(
                index, owner_event{owner_map_changed{update->changes}}
            );
        } else if (const auto* rows = std::get_if<platform::read_rows>(&action)) {
            this->read<follower_event>(index, *rows);
        }
    }
}

} // namespace apricotstile::tests

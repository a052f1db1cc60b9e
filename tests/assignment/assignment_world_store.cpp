// The world's table calls and the running of actions.

#include <tests/assignment/assignment_world.hpp>

namespace apricotstile::tests {

namespace {

using namespace std::chrono_literals;
using namespace assignment;

constexpr duration outage_answer = 20ms;

} // namespace

void assignment_world::set_store(bool down) {
    this->table.down = down;
}

void assignment_world::lose_answers(bool lost) {
    this->loses_answers = lost;
}

void assignment_world::feed(std::size_t index, const planner_event& event) {
    world_daemon& one = this->daemons[index];
    this->perform(index, step(one.planner, event, this->now, this->random));
}

void assignment_world::feed(std::size_t index, const owner_event& event) {
    world_daemon& one = this->daemons[index];
    this->perform(
        index, step(one.owner, one.follower.map, event, this->now, this->random)
    );
}

void assignment_world::feed(std::size_t index, const follower_event& event) {
    world_daemon& one = this->daemons[index];
    this->perform(index, step(one.follower, event, this->now, this->random));
}

template <class Event>
void assignment_world::submit(
    std::size_t index,
    const platform::submit_transaction& wanted,
    bool conditional,
    bool trusts_lost_answer
) {
    auto work = wanted.work;
    if (!conditional) {
        work.conditions.clear();
    }
    const incarnation run = this->daemons[index].self.incarnation;
    const bool lost = this->loses_answers && random_below(this->random, 2) == 0;
    const auto execute = [this, work] {
        auto result = commit(this->table, work);
        this->check_table();
        return result;
    };
    const auto answer = [this, index, run, id = wanted.id](
                            duration delay,
                            const platform::commit_result& result
                        ) {
        this->at_daemon(index, run, delay, [this, index, id, result] {
            this->feed(index, Event{platform::transaction_done{id, result}});
        });
    };
    if (!lost) {
        const duration back = this->short_delay();
        this->at(this->short_delay(), [execute, answer, back] {
            answer(back, execute());
        });
        return;
    }
    const auto fate = random_below(this->random, 4);
    if (fate != 0) {
        // Now, or later up to just under the store's bound.
        const auto late = random_below(this->random, 4'900);
        const duration delay = fate == 1
                                   ? duration{std::chrono::milliseconds{late}}
                                   : this->short_delay();
        this->at(delay, [execute] {
            static_cast<void>(execute());
        });
    }
    const duration told_after = this->short_delay() * 3;
    if (trusts_lost_answer) {
        this->at_daemon(index, run, told_after, [this, index] {
            this->serve_again(index);
        });
        return;
    }
    answer(told_after, {platform::commit_status::unknown, {}});
}

/// What a faulty owner does after a lost answer: it serves the ranges again
/// without reading what became of their release.
void assignment_world::serve_again(std::size_t index) {
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
void assignment_world::read(
    std::size_t index, const platform::read_rows& wanted
) {
    const incarnation run = this->daemons[index].self.incarnation;
    const duration back = this->short_delay();
    this->at(this->short_delay(), [this, index, run, wanted, back] {
        const auto result = read_prefix(this->table, wanted.prefix);
        const duration wait = result.answered ? back : outage_answer;
        this->at_daemon(index, run, wait, [this, index, wanted, result] {
            this->feed(index, Event{platform::rows_read{wanted.id, result}});
        });
    });
}

void assignment_world::perform(
    std::size_t index, const planner_actions& actions
) {
    for (const planner_action& action : actions) {
        if (const auto* one = std::get_if<share_change>(&action)) {
            this->check_acknowledged(one->change);
            this->feed(index, follower_event{change_committed{one->change}});
        } else if (const auto* map = std::get_if<share_map>(&action)) {
            this->feed(index, follower_event{map_was_read{map->rows}});
        } else if (const auto* sign = std::get_if<announce_planner>(&action)) {
            const planner_seen seen{sign->beat, sign->planner};
            this->feed(index, follower_event{seen});
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

void assignment_world::perform(
    std::size_t index, const owner_actions& actions
) {
    const seeded_faults& faults = this->options.faults;
    for (const owner_action& action : actions) {
        if (const auto* stop = std::get_if<stop_dispatching>(&action)) {
            this->daemons[index].drains[stop->range] = stop->attempt;
        } else if (const auto* go = std::get_if<resume_dispatching>(&action)) {
            this->daemons[index].drains.erase(go->range);
        } else if (const auto* one = std::get_if<share_change>(&action)) {
            this->check_acknowledged(one->change);
            this->feed(index, follower_event{change_committed{one->change}});
        } else if (std::get_if<range_released>(&action) != nullptr) {
            ++this->moves;
        } else if (std::get_if<all_released>(&action) != nullptr) {
            auto& record = this->members[this->daemons[index].self.host];
            record.state = member::member_state::left;
            this->tell_members();
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
    // Drains with nothing in flight end at once, but not inside the step.
    this->at_daemon(
        index,
        this->daemons[index].self.incarnation,
        duration{0},
        [this, index] {
            this->finish_drains(index);
        }
    );
}

void assignment_world::perform(
    std::size_t index, const follower_actions& actions
) {
    for (const follower_action& action : actions) {
        if (const auto* message = std::get_if<send_map_message>(&action)) {
            this->deliver(index, message->to, message->message);
        } else if (const auto* news = std::get_if<publish_map>(&action)) {
            this->check_published(index);
            this->feed(index, owner_event{owner_map_changed{news->changes}});
        } else if (const auto* rows = std::get_if<platform::read_rows>(&action)) {
            this->read<follower_event>(index, *rows);
        }
    }
}

} // namespace apricotstile::tests

#ifndef PLANTAINGAP_TESTS_TASK_FIXTURE_H
#define PLANTAINGAP_TESTS_TASK_FIXTURE_H

#include "decision/task_scheduler.h"

#include <algorithm>

namespace plantaingap::decision {

// A scheduler with a simulated clock and a record of its actions. The test executes the actions by
// sending the resulting events.
struct task_fixture
{
    task_limits limits;
    task_scheduler scheduler {limits};
    time_point now {std::chrono::hours(1)};
    std::vector<task_action> actions;

    explicit task_fixture(const task_limits &taskLimits = {})
        : limits(taskLimits)
        , scheduler(taskLimits)
    { }

    // Processes one event. Returns the actions of this step, which are also appended to actions.
    std::vector<task_action> send(const task_event &event)
    {
        std::vector<task_action> newActions;
        scheduler.step(event, now, newActions);
        actions.insert(actions.end(), newActions.begin(), newActions.end());
        return newActions;
    }

    // Advances the clock, calling expire() at every deadline on the way.
    void advanceTo(time_point deadline)
    {
        while (scheduler.nextDeadline() && *scheduler.nextDeadline() <= deadline) {
            now = std::max(now, *scheduler.nextDeadline());
            scheduler.expire(now, actions);
        }
        now = deadline;
    }

    void advance(duration time) { advanceTo(now + time); }

    void addWorkers(std::uint32_t count, const resources &capacity, std::uint32_t perRack = 8)
    {
        for (std::uint32_t index = 0; index < count; ++index) {
            const worker_id worker {m_workers++};
            const rack_id rack {number(worker) / perRack};
            const data_centre_id dataCentre {number(rack) / 2};
            send(worker_joined {worker, worker_class {1}, rack, dataCentre, {}, capacity});
            send(worker_confirmed {worker, {}});
        }
    }

    template<class Action>
    std::vector<Action> all() const
    {
        std::vector<Action> matching;
        for (const auto &action : actions) {
            if (const auto *typed = std::get_if<Action>(&action))
                matching.push_back(*typed);
        }
        return matching;
    }

    template<class Action>
    std::size_t count() const
    {
        return all<Action>().size();
    }

    // Confirms all recorded start orders with task_started and clears the recorded actions.
    std::vector<start_task> confirmStarts()
    {
        auto starts = all<start_task>();
        actions.clear();
        for (const auto &start : starts)
            send(task_started {start.task});
        return starts;
    }

private:
    std::uint32_t m_workers = 0;
};

inline job_submitted makeJob(std::uint64_t id, job_kind kind, std::uint32_t tasks,
                             const resources &perTask, std::uint32_t team = 1)
{
    job_submitted job;
    job.job = job_id {id};
    job.team = team_id {team};
    job.kind = kind;
    job.tasks = tasks;
    job.perTask = perTask;
    return job;
}

} // namespace plantaingap::decision

#endif

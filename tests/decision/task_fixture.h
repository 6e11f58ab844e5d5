#ifndef PLANTAINGAP_TESTS_TASK_FIXTURE_H
#define PLANTAINGAP_TESTS_TASK_FIXTURE_H

#include "decision/task_scheduler.h"

#include <algorithm>

namespace plantaingap::decision {

// A group of workers that obeys: what is started runs, what is stopped ends, at once or when the
// test says so.
struct task_fixture
{
    task_limits limits;
    task_scheduler scheduler {limits};
    time_point now {std::chrono::hours(1)};
    std::vector<task_action> actions;

    explicit task_fixture(const task_limits &chosen = {})
        : limits(chosen)
        , scheduler(chosen)
    { }

    // Sends one event; returns the actions of this step, which actions keeps as well.
    std::vector<task_action> send(const task_event &event)
    {
        std::vector<task_action> fresh;
        scheduler.step(event, now, fresh);
        actions.insert(actions.end(), fresh.begin(), fresh.end());
        return fresh;
    }

    // Lets time pass up to the given moment, with every deadline kept.
    void until(time_point end)
    {
        while (scheduler.nextDeadline() && *scheduler.nextDeadline() <= end) {
            now = std::max(now, *scheduler.nextDeadline());
            scheduler.expire(now, actions);
        }
        now = end;
    }

    void pass(duration time) { until(now + time); }

    void addWorkers(std::uint32_t count, const resources &capacity, std::uint32_t perRack = 8)
    {
        for (std::uint32_t at = 0; at < count; ++at) {
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
        std::vector<Action> found;
        for (const auto &action : actions) {
            if (const auto *typed = std::get_if<Action>(&action))
                found.push_back(*typed);
        }
        return found;
    }

    template<class Action>
    std::size_t count() const
    {
        return all<Action>().size();
    }

    // Takes the start orders given so far and answers each with task_started.
    std::vector<start_task> runStarted()
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

inline job_submitted someJob(std::uint64_t id, job_kind kind, std::uint32_t tasks,
                             const resources &each, std::uint32_t team = 1)
{
    job_submitted job;
    job.job = job_id {id};
    job.team = team_id {team};
    job.kind = kind;
    job.tasks = tasks;
    job.each = each;
    return job;
}

} // namespace plantaingap::decision

#endif

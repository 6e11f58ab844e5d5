#include "decision/task_ledger.h"

#include <algorithm>
#include <plantaingap/invariant.h>

// Tasks that a worker reports and the ledger has not placed there. They hold capacity while they
// are being stopped, but belong to no job or team.
namespace plantaingap::decision {

bool task_ledger::isPlacedOn(const task_id &task, std::uint32_t worker) const
{
    const auto *job = findJob(task.job);
    if (job == nullptr || task.index >= job->tasks.size())
        return false;
    const auto &record = job->tasks[task.index];
    return isPlaced(record.phase) && record.worker == worker && record.attempt == task.attempt;
}

void task_ledger::setUnaccounted(std::uint32_t worker, const std::vector<running_task> &reported)
{
    clearUnaccounted(worker);
    auto &record = m_workers[worker];
    for (const auto &running : reported) {
        if (isPlacedOn(running.task, worker) || !m_unaccounted.emplace(running.task, worker).second)
            continue;
        record.unaccountedTasks.push_back(running);
        record.unaccounted += running.held;
    }
    refresh(worker);
}

std::optional<std::uint32_t> task_ledger::releaseUnaccounted(const task_id &task)
{
    const auto found = m_unaccounted.lower_bound({task, 0});
    if (found == m_unaccounted.end() || found->first != task)
        return std::nullopt;
    const auto worker = found->second;
    releaseUnaccounted(task, worker);
    return worker;
}

void task_ledger::releaseUnaccounted(const task_id &task, std::uint32_t worker)
{
    if (m_unaccounted.erase({task, worker}) == 0)
        return;
    auto &record = m_workers[worker];
    auto &tasks = record.unaccountedTasks;
    const auto found = std::find_if(tasks.begin(), tasks.end(),
                                    [&](const auto &running) { return running.task == task; });
    PLANTAINGAP_INVARIANT(found != tasks.end(), "tasks.unaccounted_is_on_its_worker");
    record.unaccounted -= found->held;
    tasks.erase(found);
    PLANTAINGAP_INVARIANT(!tasks.empty() || record.unaccounted == resources {},
                          "tasks.unaccounted_sums");
    refresh(worker);
}

void task_ledger::clearUnaccounted(std::uint32_t worker)
{
    auto &record = m_workers[worker];
    for (const auto &running : record.unaccountedTasks)
        m_unaccounted.erase({running.task, worker});
    record.unaccountedTasks.clear();
    record.unaccounted = {};
}

} // namespace plantaingap::decision

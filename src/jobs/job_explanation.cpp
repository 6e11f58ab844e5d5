#include "jobs/job_scheduler.h"

#include <algorithm>
#include <array>

// Answers to "why is this job not done?", for operators and logs.
namespace plantaingap::jobs {

namespace {

constexpr std::array<std::pair<task_phase, std::string_view>, 7> phaseNames {
    {{task_phase::Waiting, "waiting"},
     {task_phase::Recording, "recording"},
     {task_phase::Ordered, "ordered"},
     {task_phase::Running, "running"},
     {task_phase::Doubtful, "doubtful"},
     {task_phase::Stopping, "stopping"},
     {task_phase::Done, "done"}}};

std::string phaseCounts(const step_run &step)
{
    std::string out;
    for (const auto &[phase, name] : phaseNames) {
        const auto count = std::ranges::count(step.tasks, phase, &task_run::phase);
        if (count > 0)
            out.append(" ").append(name).append("=").append(std::to_string(count));
    }
    return out;
}

// The first task that is bound to a worker which does not answer.
std::string silentWorker(const step_run &step)
{
    for (const auto &task : step.tasks) {
        if (task.at && !task.at->responsive)
            return " silent_worker=" + task.at->entry.id;
    }
    return {};
}

} // namespace

std::vector<std::string> job_scheduler::explain(const std::string &id, time_point now) const
{
    std::vector<std::string> lines;
    const auto *known = job(id);
    if (!known)
        return lines;
    const auto &queue = queueOf(*known);
    for (const auto &[number, occurrence] : known->occurrences) {
        for (const auto &step : occurrence.steps) {
            if (!step.ready || step.finished())
                continue;
            std::size_t usable = 0;
            std::size_t withRoom = 0;
            for (const auto &[name, at] : m_fleet.all()) {
                const bool fits = at->usable(now) && at->entry.service == queue.service
                                  && at->hasLabel(step.definition->label);
                usable += fits ? 1 : 0;
                withRoom += fits && step.definition->demand.fitsIn(at->free()) ? 1 : 0;
            }
            const auto &advice = step.advice;
            const auto valid = std::ranges::count_if(
                advice.good, [now](const auto &entry) { return entry.second.expires > now; });
            lines.push_back(task_name {id, number, step.number, 0}.text() + phaseCounts(step)
                            + " usable_workers=" + std::to_string(usable)
                            + " with_room=" + std::to_string(withRoom)
                            + " allowed=" + std::to_string(advice.good.size())
                            + " tickets=" + std::to_string(valid)
                            + " not_allowed=" + std::to_string(advice.bad.size())
                            + (advice.asking ? " asking" : "") + silentWorker(step));
        }
    }
    return lines;
}

std::vector<std::string> job_scheduler::mostOverdue(std::size_t most, time_point now) const
{
    std::vector<std::pair<time_point, std::string>> late;
    for (const auto &[id, each] : m_jobs) {
        if (each->state > job_state::Running || each->occurrences.empty())
            continue;
        const auto &steps = each->occurrences.begin()->second.steps;
        if (!steps.empty() && steps.front().onTime < now)
            late.emplace_back(steps.front().onTime, id);
    }
    std::ranges::sort(late);
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < std::min(most, late.size()); ++i)
        ids.push_back(late[i].second);
    return ids;
}

} // namespace plantaingap::jobs

#include "jobs/size_figures.h"

#include "jobs/fleet.h"
#include "jobs/task_capacity.h"

#include <algorithm>

namespace plantaingap::jobs {

namespace {

// Ranks, as shares of the recent submissions, where the largest tenth and the fifth below it end.
constexpr double largestTenthEnd = 0.1;
constexpr double nextFifthEnd = 0.3;

constexpr std::array<std::string_view, sizeBands> bandNames {"largest_tenth", "next_fifth", "rest"};

std::uint32_t wholeWorkersOf(const step_definition &step, const fleet &workers)
{
    const auto found = std::ranges::find_if(workers.all(), [&step](const auto &entry) {
        const auto &worker = *entry.second;
        return worker.listed && worker.hasLabel(step.label)
               && step.demand.fitsIn(worker.fullCapacity);
    });
    if (found == workers.all().end())
        return 0;
    auto each = tasksThatFit(effectiveDemand(step), found->second->fullCapacity);
    if (step.maxPerWorker > 0)
        each = std::min(each, step.maxPerWorker);
    return (step.tasks + each - 1) / each;
}

} // namespace

job_size sizeOf(const job_definition &job, const fleet &workers)
{
    job_size size;
    for (const auto &step : job.steps) {
        size.tasks += step.tasks;
        size.coreSeconds += static_cast<double>(step.demand.milliCores) / 1000 * step.tasks
                            * std::chrono::duration<double>(step.estimate).count();
        if (step.gang)
            size.wholeWorkers = std::max(size.wholeWorkers, wholeWorkersOf(step, workers));
    }
    return size;
}

std::string_view bandName(size_band band)
{
    return bandNames[static_cast<std::size_t>(band)];
}

size_ranking::placement size_ranking::place(std::string_view job, double coreSeconds)
{
    const auto hash = std::hash<std::string_view> {}(job);
    placement result;
    result.isNew = std::ranges::find(m_recent, hash, &submission::jobHash) == m_recent.end();
    if (result.isNew) {
        m_recent.push_back({hash, coreSeconds});
        if (m_recent.size() > capacity)
            m_recent.pop_front();
    }
    const auto larger = std::ranges::count_if(m_recent, [coreSeconds](const submission &other) {
        return other.coreSeconds > coreSeconds;
    });
    const auto rank = static_cast<double>(larger) / static_cast<double>(m_recent.size());
    if (rank < largestTenthEnd)
        result.band = size_band::LargestTenth;
    else if (rank < nextFifthEnd)
        result.band = size_band::NextFifth;
    return result;
}

size_band size_counter::submitted(const std::string &queue, std::string_view job,
                                  double coreSeconds)
{
    const auto placed = m_rankings[queue].place(job, coreSeconds);
    if (placed.isNew)
        ++figuresOf(queue, placed.band).submitted;
    return placed.band;
}

size_figures &size_counter::figuresOf(const std::string &queue, size_band band)
{
    return m_figures[queue][static_cast<std::size_t>(band)];
}

} // namespace plantaingap::jobs

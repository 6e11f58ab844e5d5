#include "jobs/dispatcher.h"

#include <algorithm>

// Placement of tasks that are suspected to crash their workers: few at a time, each where a crash
// loses the least work, and nothing else is placed there until the task has proved harmless.
namespace plantaingap::jobs {

namespace {

// Share of the workers that suspected tasks may occupy or take down at a time. It grows with the
// idle share of the fleet, from the first share below to all workers between these idle shares.
constexpr double minIsolationShare = 1.0 / 24;
constexpr double busyIdleShare = 0.35;
constexpr double calmIdleShare = 0.6;
// With less idle, a suspected task waits for a worker without runs, up to this time.
constexpr double sharedSiteIdleShare = 0.45;
constexpr std::chrono::seconds maxEmptyWorkerWait {10};
// The same for a task that lasts and is not strongly suspected: its callers wait all the while, and
// in a busy fleet no worker may come free.
constexpr std::chrono::seconds maxEmptyWorkerWaitOfLasting {2};
// A suspected task waits for so long for another machine than those that crashed under its step,
// from when it may start beside other runs.
constexpr std::chrono::seconds maxOtherMachineWait {4};
// Strongly suspected tasks that start together on one worker.
constexpr std::size_t maxSuspectsTogether = 8;

} // namespace

void dispatcher::prepareIsolation(const std::vector<ready_step> &ready)
{
    for (const auto &step : ready) {
        if (step.stronglySuspected && !step.step->definition->gang)
            m_waitingStrongSuspects += step.step->waiting;
    }
    std::size_t listed = 0;
    for (const auto &[id, worker] : m_scheduler.m_fleet.all()) {
        listed += worker->listed ? 1 : 0;
        m_isolationSites += worker->isolating() ? 1 : 0;
    }
    const auto idle = 1 - m_scheduler.m_fleetLoad;
    const auto share = std::clamp((idle - busyIdleShare) / (calmIdleShare - busyIdleShare),
                                  minIsolationShare, 1.0);
    m_maxIsolationSites =
        std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(listed)));
}

// While strongly suspected tasks are many they start together: nearly all of them crash their
// worker, and one crash settles several.
bool dispatcher::startTogether(const ready_step &ready) const
{
    return ready.stronglySuspected && m_waitingStrongSuspects > m_maxIsolationSites;
}

bool dispatcher::stepCrashedAt(const ready_step &ready, const worker &worker)
{
    const auto &crashed = ready.step->crashedAt;
    return std::ranges::find(crashed, worker.entry.address) != crashed.end();
}

bool dispatcher::suitsIsolation(const ready_step &ready, const worker &worker) const
{
    if (startTogether(ready) && m_strongSuspectsPlaced.contains(&worker))
        return true;
    const bool reservedForOther =
        worker.reservedFor && worker.reservedFor != ready.step && ready.step != m_overdueGang;
    if (worker.isolating() || reservedForOther)
        return false;
    const bool calm = 1 - m_scheduler.m_fleetLoad >= sharedSiteIdleShare;
    const bool lasting = ready.step->definition->longRunning && !ready.stronglySuspected;
    const auto longestWait = lasting ? maxEmptyWorkerWaitOfLasting : maxEmptyWorkerWait;
    const auto emptyWorkerWait = calm ? std::chrono::seconds {0} : longestWait;
    const auto waited = m_now - ready.step->lastCrashAt;
    const bool mayShare = calm || ready.step->definition->gang || waited > emptyWorkerWait;
    if (!worker.runs.empty() && !mayShare)
        return false;
    if (stepCrashedAt(ready, worker) && waited <= emptyWorkerWait + maxOtherMachineWait)
        return false;
    // A crash must not be taken for that of another task that has just been started.
    return std::ranges::none_of(worker.runs, [this](const task_run *run) {
        return run->startedAt == time_point {}
               || m_now - run->startedAt <= m_scheduler.m_options.freshRunAge;
    });
}

std::int64_t dispatcher::workAtRisk(const worker &worker) const
{
    std::int64_t sum = 0;
    for (const auto *run : worker.runs) {
        const auto &definition = *run->step->definition;
        const auto done = std::chrono::duration_cast<milliseconds>(m_now - run->startedAt).count();
        const auto members = definition.gang ? static_cast<std::int64_t>(definition.tasks) : 1;
        sum += definition.demand.milliCores * done * members;
    }
    return sum;
}

bool dispatcher::mayRequestIsolation(const ready_step &ready)
{
    const auto limit = m_maxIsolationSites * (startTogether(ready) ? maxSuspectsTogether : 1);
    return m_isolationSites + m_isolationAdvice++ < limit;
}

bool dispatcher::mayIsolateGang(std::size_t workers) const
{
    return m_isolationSites == 0 || m_isolationSites + workers <= m_maxIsolationSites;
}

void dispatcher::placeIsolated(const ready_step &ready, task_run &task,
                               const std::vector<worker *> &workers)
{
    auto &job = *ready.step->occurrence->job;
    // One at a time: a crash under one task fails the job.
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const auto &step : occurrence.steps) {
            if (std::ranges::any_of(step.tasks, &task_run::isolated))
                return;
        }
    }
    auto *site = isolationSite(ready, workers);
    if (!site)
        return;
    if (!site->isolating())
        ++m_isolationSites;
    if (ready.stronglySuspected)
        ++m_strongSuspectsPlaced[site];
    assign(task, *site, task.attempt + 1);
    m_scheduler.isolate(task);
}

worker *dispatcher::isolationSite(const ready_step &ready,
                                  const std::vector<worker *> &workers) const
{
    worker *best = nullptr;
    std::pair<bool, std::int64_t> leastRisk {};
    for (auto *worker : workers) {
        if (freeTaskSlots(ready, *worker) == 0 || !suitsIsolation(ready, *worker))
            continue;
        const auto placed = m_strongSuspectsPlaced.find(worker);
        if (placed != m_strongSuspectsPlaced.end()) {
            if (placed->second < maxSuspectsTogether)
                return worker;
            continue;
        }
        const auto risk = std::make_pair(stepCrashedAt(ready, *worker), workAtRisk(*worker));
        if (m_isolationSites < m_maxIsolationSites && (!best || risk < leastRisk)) {
            best = worker;
            leastRisk = risk;
        }
    }
    return best;
}

} // namespace plantaingap::jobs

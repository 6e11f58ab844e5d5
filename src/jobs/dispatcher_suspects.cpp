#include "jobs/dispatcher.h"

#include <algorithm>

// Placement of tasks that are suspected to crash their workers: each alone on a worker, few at a
// time.
namespace plantaingap::jobs {

namespace {

// Share of the workers that suspected tasks may occupy or take down at a time: of all workers, and
// of those that the load leaves free.
constexpr double minIsolationShare = 1.0 / 24;
constexpr double idleIsolationShare = 0.5;
// Time after which a worker that was set aside and not used is given back.
constexpr std::chrono::milliseconds setAsideDuration {1500};
// A gang may need more empty workers than a busy fleet gives up.
constexpr std::chrono::milliseconds gangIsolationWait {3000};
// Strongly suspected tasks that start together on one worker.
constexpr std::size_t maxSuspectsTogether = 8;
// Workers with runs that are left to become empty at a time.
constexpr std::size_t maxEmptying = 2;

} // namespace

bool dispatcher::suitsIsolation(const ready_step &ready, const worker &worker) const
{
    const bool empty = worker.runs.empty() || worker.setAsideUntil != time_point {}
                       || (ready.stronglySuspected && m_strongSuspectsPlaced.contains(&worker));
    return empty && (!worker.reservedFor || worker.reservedFor == ready.step)
           && std::ranges::find(ready.step->crashedAt, worker.entry.address)
                  == ready.step->crashedAt.end();
}

bool dispatcher::isolatedGang(step_run &step) const
{
    if (!step.suspectedGang()) {
        step.isolationEnd.reset();
        return false;
    }
    if (!step.isolationEnd)
        step.isolationEnd = m_now + gangIsolationWait;
    return m_now < *step.isolationEnd;
}

// Number of workers on which the suspected tasks of the step that wait would start alone.
std::size_t dispatcher::isolationSitesNeeded(const ready_step &ready) const
{
    if (!ready.step->definition->gang) {
        return static_cast<std::size_t>(
            std::ranges::count_if(ready.step->tasks, [](const task_run &task) {
                return task.phase == task_phase::Waiting && task.crashes.suspected();
            }));
    }
    if (!ready.isolated)
        return 0;
    std::uint32_t slots = 1;
    for (const auto *worker : m_usableWorkers) {
        if (worker->entry.service == ready.queue->service)
            slots = std::max(slots, totalTaskSlots(ready, *worker));
    }
    return (ready.step->tasks.size() + slots - 1) / slots;
}

void dispatcher::prepareIsolation(const std::vector<ready_step> &ready)
{
    std::vector<const ready_step *> suspects;
    std::size_t waiting = 0;
    std::size_t widestGang = 1;
    for (const auto &step : ready) {
        const auto needed = isolationSitesNeeded(step);
        if (needed == 0)
            continue;
        suspects.push_back(&step);
        waiting += needed;
        if (!step.step->definition->gang && step.stronglySuspected)
            m_waitingStrongSuspects += needed;
        if (step.step->definition->gang)
            widestGang = std::max(widestGang, needed);
    }
    std::size_t listed = 0;
    for (const auto &[id, worker] : m_scheduler.m_fleet.all()) {
        listed += worker->listed ? 1 : 0;
        m_isolationSites += worker->isolating() ? 1 : 0;
    }
    const auto share =
        std::max(minIsolationShare, idleIsolationShare * (1 - m_scheduler.m_fleetLoad));
    m_maxIsolationSites =
        std::max(widestGang, static_cast<std::size_t>(share * static_cast<double>(listed)));
    const auto sites = m_maxIsolationSites - std::min(m_isolationSites, m_maxIsolationSites);
    setAside(suspects, std::min(waiting, sites), std::max(maxEmptying, widestGang));
}

// Keeps that many workers empty, or lets them become empty, up to a limit. Empty ones come first,
// then those whose runs end first; among them those that the advisor allowed for a suspect.
void dispatcher::setAside(const std::vector<const ready_step *> &suspects, std::size_t wanted,
                          std::size_t mostEmptying)
{
    std::size_t emptying = 0;
    std::vector<std::tuple<bool, time_point, worker *>> candidates;
    for (auto *worker : m_usableWorkers) {
        if (worker->setAsideUntil > m_now && wanted > 0) {
            --wanted;
            emptying += worker->runs.empty() ? 0 : 1;
            continue;
        }
        worker->setAsideUntil = {};
        if (worker->reservedFor || worker->isolating())
            continue;
        time_point emptyAt = m_now;
        bool endless = false;
        for (const auto *run : worker->runs) {
            endless = endless || run->step->definition->longRunning;
            emptyAt = std::max(emptyAt, expectedEnd(*run));
        }
        bool suitable = false;
        bool allowed = false;
        for (const auto *ready : suspects) {
            const auto &advice = ready->step->advice;
            if (worker->entry.service != ready->queue->service
                || !worker->hasLabel(ready->step->definition->label)
                || std::ranges::find(advice.rejected, worker->entry.id) != advice.rejected.end())
                continue;
            suitable = true;
            allowed = allowed || advice.allowed.contains(worker->entry.id);
        }
        if (suitable && !endless)
            candidates.emplace_back(!allowed, emptyAt, worker);
    }
    std::ranges::stable_sort(candidates, {}, [](const auto &candidate) {
        return std::make_pair(!std::get<worker *>(candidate)->runs.empty(),
                              std::make_pair(std::get<0>(candidate), std::get<1>(candidate)));
    });
    for (auto &[notAllowed, emptyAt, worker] : candidates) {
        if (wanted == 0)
            return;
        if (!worker->runs.empty() && ++emptying > mostEmptying)
            return;
        worker->setAsideUntil = emptyAt + setAsideDuration;
        --wanted;
    }
}

bool dispatcher::mayRequestIsolation(const ready_step &ready)
{
    const auto limit = m_maxIsolationSites * (startTogether(ready) ? maxSuspectsTogether : 1);
    return m_isolationSites + m_isolationAdvice++ < limit;
}

// While strongly suspected tasks are many they start together: nearly all of them crash their
// worker, and one crash settles several.
bool dispatcher::startTogether(const ready_step &ready) const
{
    return ready.stronglySuspected && m_waitingStrongSuspects > m_maxIsolationSites;
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
    if (site->runs.empty())
        ++m_isolationSites;
    if (ready.stronglySuspected)
        ++m_strongSuspectsPlaced[site];
    site->setAsideUntil = {};
    assign(task, *site, task.attempt + 1);
    task.isolated = true;
    task.crashes.startAlone(task.attempt);
}

// An empty worker, or one where other strongly suspected tasks are about to start.
worker *dispatcher::isolationSite(const ready_step &ready,
                                  const std::vector<worker *> &workers) const
{
    worker *best = nullptr;
    for (auto *worker : workers) {
        if (freeTaskSlots(ready, *worker) == 0)
            continue;
        const auto placed = m_strongSuspectsPlaced.find(worker);
        if (startTogether(ready) && placed != m_strongSuspectsPlaced.end()
            && placed->second < maxSuspectsTogether)
            return worker;
        if (!worker->runs.empty() || m_isolationSites >= m_maxIsolationSites
            || !suitsIsolation(ready, *worker))
            continue;
        if (!best || worker->setAsideUntil > best->setAsideUntil)
            best = worker;
    }
    return best;
}

} // namespace plantaingap::jobs

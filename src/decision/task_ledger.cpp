#include "decision/task_ledger.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

std::uint32_t domainOf(spread_rule rule, const worker_record &worker)
{
    return rule == spread_rule::DataCentres ? number(worker.dataCentre) : number(worker.rack);
}

bool isPreemptible(const job_record &job)
{
    return job.spec.kind != job_kind::Service && job.level != work_level::Urgent;
}

std::uint32_t task_ledger::addWorker(const worker_joined &joined)
{
    auto index = workerCount();
    if (m_reusableIndexes.empty()) {
        m_workers.emplace_back();
    } else {
        index = m_reusableIndexes.back();
        m_reusableIndexes.pop_back();
        m_workers[index] = {};
    }
    m_workerIndex[joined.worker] = index;
    auto &record = m_workers[index];
    record.id = joined.worker;
    record.kind = joined.kind;
    record.rack = joined.rack;
    record.dataCentre = joined.dataCentre;
    record.capacity = joined.capacity;
    record.joinSequence = ++m_joins;
    m_unconfirmed.insert(record.joinSequence);
    m_total += record.capacity;
    m_teams.setTotal(m_total);
    adjustClassCount(record, 1);
    refresh(index);
    return index;
}

worker_record *task_ledger::findWorker(worker_id worker)
{
    const auto it = m_workerIndex.find(worker);
    return it == m_workerIndex.end() ? nullptr : &m_workers[it->second];
}

std::uint32_t task_ledger::indexOf(const worker_record &record) const
{
    return static_cast<std::uint32_t>(&record - m_workers.data());
}

void task_ledger::refresh(std::uint32_t worker)
{
    const auto &record = m_workers[worker];
    if (!record.isSchedulable() && !mutated("tasks.place_unconfirmed")) {
        m_unclaimed.remove(worker);
        m_freeOrPreemptible.remove(worker);
        return;
    }
    m_unclaimed.set(worker, record.unclaimed());
    m_freeOrPreemptible.set(worker, record.free() + record.preemptible);
}

void task_ledger::confirm(std::uint32_t worker)
{
    auto &record = m_workers[worker];
    record.confirmed = true;
    record.lost = false;
    m_unconfirmed.erase(record.joinSequence);
    refresh(worker);
}

void task_ledger::removeWorker(std::uint32_t worker)
{
    auto &record = m_workers[worker];
    PLANTAINGAP_INVARIANT(record.tasks.empty(), "tasks.removed_worker_is_empty");
    clearUnaccounted(worker);
    record.removed = true;
    m_unconfirmed.erase(record.joinSequence);
    m_workerIndex.erase(record.id);
    m_total -= record.capacity;
    m_teams.setTotal(m_total);
    adjustClassCount(record, -1);
    refresh(worker);
    m_reusableIndexes.push_back(worker);
}

job_record &task_ledger::addJob(const job_submitted &submitted, time_point now)
{
    auto &job = *(m_jobs[submitted.job] = std::make_unique<job_record>());
    job.spec = submitted;
    job.demand = submitted.perTask;
    job.level = levelOf(submitted);
    job.sequence = ++m_submissions;
    job.acceptedAt = now;
    job.lastStartAt = now;
    job.barrier = submitted.origin == job_origin::Recovered ? m_joins : 0;
    job.tasks.resize(submitted.tasks);
    for (auto &task : job.tasks)
        task.attempt = submitted.attemptFloor;
    for (const auto finished : submitted.finished) {
        if (finished < submitted.tasks)
            job.tasks[finished].phase = task_phase::Finished;
    }
    for (std::uint32_t index = 0; index < submitted.tasks; ++index) {
        ++job.counts[static_cast<std::size_t>(job.tasks[index].phase)];
        if (job.tasks[index].phase == task_phase::Waiting)
            job.waiting.push_back(index);
    }
    if (!job.waiting.empty())
        m_teams.enqueue(job);
    return job;
}

job_record *task_ledger::findJob(job_id job)
{
    const auto it = m_jobs.find(job);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

const job_record *task_ledger::findJob(job_id job) const
{
    const auto it = m_jobs.find(job);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

job_record *task_ledger::findTask(const task_id &task)
{
    auto *job = findJob(task.job);
    if (job == nullptr || task.index >= job->tasks.size())
        return nullptr;
    const bool current = job->tasks[task.index].attempt == task.attempt;
    return current || mutated("tasks.accept_stale_attempt") ? job : nullptr;
}

void task_ledger::removeJob(job_record &job)
{
    PLANTAINGAP_INVARIANT(job.placed() == 0, "tasks.finished_job_holds_nothing");
    releaseAllClaims(job);
    m_teams.dequeue(job);
    m_jobs.erase(job.spec.job);
}

std::uint32_t task_ledger::place(job_record &job, std::uint32_t worker, const resources &held,
                                 time_point now)
{
    PLANTAINGAP_INVARIANT(!job.waiting.empty(), "tasks.placed_task_was_waiting");
    const auto index = job.waiting.front();
    job.waiting.pop_front();
    auto &task = job.tasks[index];
    const auto &record = m_workers[worker];
    PLANTAINGAP_INVARIANT(record.isSchedulable() || record.probing,
                          "tasks.placed_on_a_worker_in_use");
    PLANTAINGAP_INVARIANT(pastBarrier(job), "tasks.placed_past_the_barrier");
    PLANTAINGAP_INVARIANT(held.fitsIn(record.free()), "tasks.placed_in_free_capacity");
    attach(job, index, worker, held);
    move(job, index, task_phase::Starting);
    task.attempt = std::max(task.attempt, job.spec.attemptFloor) + 1;
    ++m_starts;
    job.lastStartAt = now;
    task.checkpointRequested = false;
    task.backfill = false;
    task.startedAt = now;
    task.lastCheckpointAt = now;
    task.peak = {};
    task.reports = 0;
    task.throttledAt = {};
    if (job.waiting.empty())
        m_teams.dequeue(job);
    return index;
}

void task_ledger::adopt(job_record &job, std::uint32_t index, std::uint32_t attempt,
                        std::uint32_t worker, const resources &held, time_point now)
{
    auto &task = job.tasks[index];
    PLANTAINGAP_INVARIANT(!isPlaced(task.phase), "tasks.one_place_per_task");
    std::erase(job.waiting, index);
    releaseUnaccounted({job.spec.job, index, attempt}, worker);
    attach(job, index, worker, held);
    move(job, index, task_phase::Running);
    task.attempt = attempt;
    task.startedAt = now;
    task.lastCheckpointAt = now;
    if (job.waiting.empty())
        m_teams.dequeue(job);
}

void task_ledger::setPhase(job_record &job, std::uint32_t index, task_phase phase)
{
    PLANTAINGAP_INVARIANT(isPlaced(job.tasks[index].phase) == isPlaced(phase),
                          "tasks.phase_keeps_place");
    move(job, index, phase);
}

void task_ledger::release(job_record &job, std::uint32_t index, task_phase phase)
{
    PLANTAINGAP_INVARIANT(!isPlaced(phase), "tasks.released_task_holds_nothing");
    PLANTAINGAP_INVARIANT(isPlaced(job.tasks[index].phase), "tasks.released_task_was_placed");
    move(job, index, phase);
    detach(job, index);
    if (phase == task_phase::Waiting)
        enqueue(job, index);
}

void task_ledger::requeue(job_record &job, std::uint32_t index)
{
    move(job, index, task_phase::Waiting);
    enqueue(job, index);
}

void task_ledger::enqueue(job_record &job, std::uint32_t index)
{
    job.waiting.push_back(index);
    if (!job.cancelled)
        m_teams.enqueue(job);
}

void task_ledger::resize(job_record &job, std::uint32_t index, const resources &held)
{
    auto &task = job.tasks[index];
    auto &record = m_workers[task.worker];
    const auto change = held - task.held;
    PLANTAINGAP_INVARIANT(change.fitsIn(greatest(record.free(), {})),
                          "tasks.raised_in_free_capacity");
    record.used += change;
    if (isPreemptible(job))
        record.preemptible += change;
    m_used += change;
    m_teams.add(job.spec.team, change);
    task.held = held;
    PLANTAINGAP_INVARIANT(record.used.fitsIn(record.capacity), "tasks.capacity");
    refresh(task.worker);
}

void task_ledger::addClaim(job_record &job, std::uint32_t worker, std::uint32_t count)
{
    auto &record = m_workers[worker];
    const auto existing = std::find_if(record.claims.begin(), record.claims.end(),
                                       [&](const auto &entry) { return entry.job == &job; });
    if (existing != record.claims.end()) {
        existing->count += count;
    } else {
        record.claims.push_back({&job, count});
        job.claimedWorkers.push_back(worker);
    }
    record.claimed += job.demand * count;
    m_teams.addExpected(job.spec.team, job.demand * count);
    job.claimedTasks += count;
    refresh(worker);
}

void task_ledger::releaseClaim(job_record &job, std::uint32_t worker, std::uint32_t count)
{
    auto &record = m_workers[worker];
    for (auto it = record.claims.begin(); it != record.claims.end() && count > 0;) {
        const auto released = it->job == &job ? std::min(it->count, count) : 0;
        count -= released;
        it->count -= released;
        job.claimedTasks -= released;
        record.claimed -= job.demand * released;
        m_teams.addExpected(job.spec.team, resources {} - job.demand * released);
        it = it->count == 0 ? record.claims.erase(it) : it + 1;
    }
    if (job.claimedTasks == 0)
        job.claimedWorkers.clear();
    PLANTAINGAP_INVARIANT(resources {}.fitsIn(record.claimed), "tasks.claims_not_negative");
    refresh(worker);
}

void task_ledger::releaseAllClaims(job_record &job)
{
    const auto workers = std::move(job.claimedWorkers);
    job.claimedWorkers.clear();
    for (const auto worker : workers)
        releaseClaim(job, worker, ~0U);
    job.reserving = false;
    job.backfillClosed = false;
    PLANTAINGAP_INVARIANT(job.claimedTasks == 0, "tasks.dropped_claims_are_gone");
}

void task_ledger::releaseClaimsOn(std::uint32_t worker)
{
    const auto claims = m_workers[worker].claims;
    for (const auto &entry : claims) {
        if (entry.job->spec.kind == job_kind::AllOrNothing)
            releaseAllClaims(*entry.job);
        else
            releaseClaim(*entry.job, worker, ~0U);
    }
}

bool task_ledger::pastBarrier(const job_record &job) const
{
    return m_unconfirmed.empty() || *m_unconfirmed.begin() > job.barrier
           || mutated("tasks.skip_barrier");
}

void task_ledger::move(job_record &job, std::uint32_t index, task_phase phase)
{
    auto &task = job.tasks[index];
    if (phase == task_phase::Stopping && task.phase != phase)
        m_teams.addExpected(job.spec.team, resources {} - task.held);
    if (task.phase == task_phase::Stopping && task.phase != phase)
        m_teams.addExpected(job.spec.team, task.held);
    --job.counts[static_cast<std::size_t>(task.phase)];
    if (!mutated("tasks.lose_task_state"))
        ++job.counts[static_cast<std::size_t>(phase)];
    task.phase = phase;
    std::uint64_t total = 0;
    for (const auto count : job.counts)
        total += count;
    PLANTAINGAP_INVARIANT(total == job.tasks.size(), "tasks.each_in_one_state");
}

void task_ledger::attach(job_record &job, std::uint32_t index, std::uint32_t worker,
                         const resources &held)
{
    auto &task = job.tasks[index];
    auto &record = m_workers[worker];
    PLANTAINGAP_INVARIANT(!isPlaced(task.phase), "tasks.one_place_per_task");
    task.worker = worker;
    task.held = held;
    task.position = static_cast<std::uint32_t>(record.tasks.size());
    record.tasks.push_back({&job, index});
    record.used += held;
    if (isPreemptible(job))
        record.preemptible += held;
    m_used += held;
    m_teams.add(job.spec.team, held);
    adjustDomainCount(job, record, 1);
    PLANTAINGAP_INVARIANT(record.used.fitsIn(record.capacity), "tasks.capacity");
    PLANTAINGAP_INVARIANT(m_used == m_teams.used(), "tasks.quota_sums");
    refresh(worker);
}

void task_ledger::detach(job_record &job, std::uint32_t index)
{
    auto &task = job.tasks[index];
    auto &record = m_workers[task.worker];
    const auto last = record.tasks.back();
    record.tasks[task.position] = last;
    last.job->tasks[last.index].position = task.position;
    record.tasks.pop_back();
    record.used -= task.held;
    if (isPreemptible(job))
        record.preemptible -= task.held;
    m_used -= task.held;
    m_teams.remove(job.spec.team, task.held);
    adjustDomainCount(job, record, -1);
    PLANTAINGAP_INVARIANT(m_used == m_teams.used(), "tasks.quota_sums");
    task.held = {};
    refresh(task.worker);
}

void task_ledger::adjustDomainCount(job_record &job, const worker_record &record, int change)
{
    const auto rule = job.spec.spread;
    if (rule == spread_rule::Anywhere)
        return;
    const auto domain = domainOf(rule, record);
    auto &domains = job.domains;
    auto it = std::lower_bound(domains.begin(), domains.end(), std::pair {domain, 0U});
    if (it == domains.end() || it->first != domain)
        it = domains.insert(it, {domain, 0U});
    it->second += static_cast<std::uint32_t>(change);
}

void task_ledger::adjustClassCount(const worker_record &record, int change)
{
    auto it = std::find_if(m_classes.begin(), m_classes.end(), [&](const auto &workerClass) {
        return workerClass.kind == record.kind;
    });
    if (it == m_classes.end())
        it = m_classes.insert(it, {record.kind, {}, 0});
    it->workers += static_cast<std::uint32_t>(change);
    it->capacity.milliCores = std::max(it->capacity.milliCores, record.capacity.milliCores);
    it->capacity.memoryMib = std::max(it->capacity.memoryMib, record.capacity.memoryMib);
    it->capacity.accelerators = std::max(it->capacity.accelerators, record.capacity.accelerators);
}

bool task_ledger::consistent() const
{
    resources total;
    std::size_t unaccountedTasks = 0;
    for (const auto &record : m_workers) {
        resources held;
        resources claimed;
        resources unaccounted;
        for (const auto &ref : record.tasks)
            held += ref.job->tasks[ref.index].held;
        for (const auto &entry : record.claims)
            claimed += entry.job->demand * entry.count;
        for (const auto &running : record.unaccountedTasks)
            unaccounted += running.held;
        if (held != record.used || claimed != record.claimed || unaccounted != record.unaccounted)
            return false;
        unaccountedTasks += record.unaccountedTasks.size();
        if (!record.used.fitsIn(record.capacity))
            return false;
        total += held;
    }
    return total == m_used && total == m_teams.used() && unaccountedTasks == m_unaccounted.size();
}

} // namespace plantaingap::decision

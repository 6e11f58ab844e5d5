#include "decision/task_ledger.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

std::uint32_t domainOf(spread_rule rule, const worker_record &worker)
{
    return rule == spread_rule::DataCentres ? number(worker.dataCentre) : number(worker.rack);
}

bool mayYield(const job_record &job)
{
    return job.spec.kind != job_kind::Service && job.level != work_level::Urgent;
}

std::uint32_t task_ledger::addWorker(const worker_joined &joined)
{
    auto at = workerCount();
    if (m_vacant.empty()) {
        m_workers.emplace_back();
    } else {
        at = m_vacant.back();
        m_vacant.pop_back();
        m_workers[at] = {};
    }
    m_workerIndex[joined.worker] = at;
    auto &record = m_workers[at];
    record.id = joined.worker;
    record.kind = joined.kind;
    record.rack = joined.rack;
    record.dataCentre = joined.dataCentre;
    record.capacity = joined.capacity;
    record.joinSequence = ++m_joins;
    m_unconfirmed.insert(record.joinSequence);
    m_total += record.capacity;
    m_teams.setTotal(m_total);
    countClass(record, 1);
    refresh(at);
    return at;
}

worker_record *task_ledger::findWorker(worker_id worker)
{
    const auto found = m_workerIndex.find(worker);
    return found == m_workerIndex.end() ? nullptr : &m_workers[found->second];
}

std::uint32_t task_ledger::numberOf(const worker_record &record) const
{
    return static_cast<std::uint32_t>(&record - m_workers.data());
}

void task_ledger::refresh(std::uint32_t worker)
{
    const auto &record = m_workers[worker];
    if (!record.takesWork() && !mutated("tasks.place_unconfirmed")) {
        m_open.remove(worker);
        m_yielding.remove(worker);
        return;
    }
    m_open.set(worker, record.open());
    m_yielding.set(worker, record.free() + record.yielding);
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
    record.gone = true;
    m_unconfirmed.erase(record.joinSequence);
    m_workerIndex.erase(record.id);
    m_total -= record.capacity;
    m_teams.setTotal(m_total);
    countClass(record, -1);
    refresh(worker);
    m_vacant.push_back(worker);
}

job_record &task_ledger::addJob(const job_submitted &submitted, time_point now)
{
    auto &job = *(m_jobs[submitted.job] = std::make_unique<job_record>());
    job.spec = submitted;
    job.need = submitted.each;
    job.level = levelOf(submitted);
    job.sequence = ++m_submissions;
    job.acceptedAt = now;
    job.servedAt = now;
    job.barrier = submitted.origin == job_origin::Recovered ? m_joins : 0;
    job.tasks.resize(submitted.tasks);
    for (auto &task : job.tasks)
        task.attempt = submitted.attemptFloor;
    for (const auto done : submitted.finished) {
        if (done < submitted.tasks)
            job.tasks[done].phase = task_phase::Finished;
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
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

const job_record *task_ledger::findJob(job_id job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : found->second.get();
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
    dropClaims(job);
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
    PLANTAINGAP_INVARIANT(record.takesWork() || record.probing, "tasks.placed_on_a_worker_in_use");
    PLANTAINGAP_INVARIANT(pastBarrier(job), "tasks.placed_past_the_barrier");
    attach(job, index, worker, held);
    move(job, index, task_phase::Starting);
    task.attempt = std::max(task.attempt, job.spec.attemptFloor) + 1;
    ++m_starts;
    job.servedAt = now;
    task.checkpointAsked = false;
    task.backfill = false;
    task.startedAt = now;
    task.savedAt = now;
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
    attach(job, index, worker, held);
    move(job, index, task_phase::Running);
    task.attempt = attempt;
    task.startedAt = now;
    task.savedAt = now;
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
    record.used += change;
    if (mayYield(job))
        record.yielding += change;
    m_used += change;
    m_teams.add(job.spec.team, change);
    task.held = held;
    PLANTAINGAP_INVARIANT(record.used.fitsIn(record.capacity), "tasks.capacity");
    refresh(task.worker);
}

void task_ledger::addClaim(job_record &job, std::uint32_t worker, std::uint32_t count)
{
    auto &record = m_workers[worker];
    const auto known = std::find_if(record.claims.begin(), record.claims.end(),
                                    [&](const auto &set) { return set.job == &job; });
    if (known != record.claims.end()) {
        known->count += count;
    } else {
        record.claims.push_back({&job, count});
        job.claimedWorkers.push_back(worker);
    }
    record.claimed += job.need * count;
    m_teams.expect(job.spec.team, job.need * count);
    job.claimedTasks += count;
    refresh(worker);
}

void task_ledger::takeClaim(job_record &job, std::uint32_t worker, std::uint32_t count)
{
    auto &record = m_workers[worker];
    for (auto at = record.claims.begin(); at != record.claims.end() && count > 0;) {
        const auto taken = at->job == &job ? std::min(at->count, count) : 0;
        count -= taken;
        at->count -= taken;
        job.claimedTasks -= taken;
        record.claimed -= job.need * taken;
        m_teams.expect(job.spec.team, resources {} - job.need * taken);
        at = at->count == 0 ? record.claims.erase(at) : at + 1;
    }
    if (job.claimedTasks == 0)
        job.claimedWorkers.clear();
    PLANTAINGAP_INVARIANT(resources {}.fitsIn(record.claimed), "tasks.claims_not_negative");
    refresh(worker);
}

void task_ledger::dropClaims(job_record &job)
{
    const auto workers = std::move(job.claimedWorkers);
    job.claimedWorkers.clear();
    for (const auto worker : workers)
        takeClaim(job, worker, ~0U);
    job.reserving = false;
    job.filling = false;
    PLANTAINGAP_INVARIANT(job.claimedTasks == 0, "tasks.dropped_claims_are_gone");
}

void task_ledger::dropClaimsOn(std::uint32_t worker)
{
    const auto claims = m_workers[worker].claims;
    for (const auto &set : claims) {
        if (set.job->spec.kind == job_kind::AllOrNothing)
            dropClaims(*set.job);
        else
            takeClaim(*set.job, worker, ~0U);
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
        m_teams.expect(job.spec.team, resources {} - task.held);
    if (task.phase == task_phase::Stopping && task.phase != phase)
        m_teams.expect(job.spec.team, task.held);
    --job.counts[static_cast<std::size_t>(task.phase)];
    if (!mutated("tasks.lose_task_state"))
        ++job.counts[static_cast<std::size_t>(phase)];
    task.phase = phase;
    std::uint64_t sum = 0;
    for (const auto count : job.counts)
        sum += count;
    PLANTAINGAP_INVARIANT(sum == job.tasks.size(), "tasks.each_in_one_state");
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
    if (mayYield(job))
        record.yielding += held;
    m_used += held;
    m_teams.add(job.spec.team, held);
    countDomain(job, record, 1);
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
    if (mayYield(job))
        record.yielding -= task.held;
    m_used -= task.held;
    m_teams.remove(job.spec.team, task.held);
    countDomain(job, record, -1);
    PLANTAINGAP_INVARIANT(m_used == m_teams.used(), "tasks.quota_sums");
    task.held = {};
    refresh(task.worker);
}

void task_ledger::countDomain(job_record &job, const worker_record &record, int change)
{
    const auto rule = job.spec.spread;
    if (rule == spread_rule::Anywhere)
        return;
    const auto domain = domainOf(rule, record);
    auto &domains = job.domains;
    auto at = std::lower_bound(domains.begin(), domains.end(), std::pair {domain, 0U});
    if (at == domains.end() || at->first != domain)
        at = domains.insert(at, {domain, 0U});
    at->second += static_cast<std::uint32_t>(change);
}

void task_ledger::countClass(const worker_record &record, int change)
{
    auto at = std::find_if(m_classes.begin(), m_classes.end(),
                           [&](const auto &known) { return known.kind == record.kind; });
    if (at == m_classes.end())
        at = m_classes.insert(at, {record.kind, {}, 0});
    at->workers += static_cast<std::uint32_t>(change);
    at->capacity.milliCores = std::max(at->capacity.milliCores, record.capacity.milliCores);
    at->capacity.memoryMib = std::max(at->capacity.memoryMib, record.capacity.memoryMib);
    at->capacity.accelerators = std::max(at->capacity.accelerators, record.capacity.accelerators);
}

bool task_ledger::consistent() const
{
    resources sum;
    for (const auto &record : m_workers) {
        resources held;
        resources claimed;
        for (const auto &ref : record.tasks)
            held += ref.job->tasks[ref.index].held;
        for (const auto &set : record.claims)
            claimed += set.job->need * set.count;
        if (held != record.used || claimed != record.claimed)
            return false;
        if (!record.used.fitsIn(record.capacity))
            return false;
        sum += held;
    }
    return sum == m_used && sum == m_teams.used();
}

} // namespace plantaingap::decision

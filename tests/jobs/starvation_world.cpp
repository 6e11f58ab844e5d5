#include "jobs/starvation_world.h"

#include "jobs/task_capacity.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::tests {

namespace {

using std::chrono::microseconds;

// From the rule: a step may be left without a run for this long while capacity is there, and a
// worker does not count until this long after an impairment.
constexpr milliseconds maxWait {3000};
constexpr milliseconds maxLongRunningGap {6000};
constexpr milliseconds calmAfterImpairment {4000};
constexpr std::uint32_t capacityFactor = 2;
// Latency from the leader to the advisor and back.
constexpr milliseconds advisorRoundTrip {40};
// Time to notice that a call failed.
constexpr milliseconds failedCallTime {100};
constexpr std::size_t maxListed = 5;

struct queue_profile
{
    const char *name;
    std::uint32_t priority;
    microseconds perCall;
    microseconds perWorker;
    double allowedShare;
};

constexpr queue_profile queueProfiles[] = {
    {"quick", 0, microseconds(8'900), microseconds(130), 0.7},
    {"large", 1, microseconds(380'000), microseconds(5'500), 0.25},
    {"middle", 2, microseconds(140'000), microseconds(2'000), 0.45},
};

double unitHash(const std::string &text, std::uint64_t seed)
{
    // The standard hash of similar texts may be similar.
    std::mt19937_64 mixed(std::hash<std::string> {}(text) ^ (seed * 0x9E3779B97F4A7C15U));
    return static_cast<double>(mixed() >> 11U) / static_cast<double>(1ULL << 53U);
}

std::string stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

template<typename Map>
typename Map::iterator findByPrefix(Map &map, const std::string &text)
{
    return std::ranges::find_if(map,
                                [&](const auto &entry) { return text.starts_with(entry.first); });
}

} // namespace

starvation_world::starvation_world(const advisor_profile &advisor, int workers, std::uint64_t seed)
    : scheduler_world(workers)
    , m_advisor(advisor)
    , m_seed(seed)
    , m_random(seed)
{
    int number = 0;
    for (auto &[id, worker] : fleet) {
        if (number++ % 4 == 0)
            worker.entry.labels.emplace_back(rareLabel);
    }
    configureQueues(advisor);
    newIdAfterCrash = false;
    begin();
}

void starvation_world::configureQueues(const advisor_profile &advisor)
{
    jobs::cell_configuration configuration;
    configuration.version = 2;
    for (const auto &profile : queueProfiles) {
        std::optional<jobs::advisor_cost> cost;
        if (advisor.used)
            cost = {profile.perCall, profile.perWorker, advisor.validity};
        configuration.queues.push_back({profile.name, "host", std::string("/") + profile.name + "/",
                                        "service", profile.priority, 4, 2.0, milliseconds(600),
                                        cost});
    }
    scheduler.configure(configuration);
}

std::string starvation_world::newId()
{
    auto text = std::to_string(m_nextId++);
    return std::string(16 - text.size(), '0') + text;
}

bool starvation_world::occursWithRate(double perSecond)
{
    const auto probability = perSecond * static_cast<double>(tickLength.count()) / 1000;
    return static_cast<double>(m_random() >> 11U) / static_cast<double>(1ULL << 53U) < probability;
}

bool starvation_world::allowed(const std::string &worker, const std::string &step,
                               const std::string &queue) const
{
    if (!m_advisor.used)
        return true;
    const auto *profile = std::ranges::find(queueProfiles, queue, &queue_profile::name);
    const auto share = m_advisor.allowedShare.value_or(profile->allowedShare);
    return unitHash(worker + step, m_seed) < share;
}

bool starvation_world::fitsWhenEmpty(const jobs::job_definition &job) const
{
    const auto occurrences = std::max<std::uint32_t>(job.occurrences, 1);
    for (std::uint32_t number = 0; number < occurrences; ++number) {
        for (std::uint32_t s = 0; s < job.steps.size(); ++s) {
            const auto name = stepOf(jobs::task_name {job.id, number, s, 0}.text());
            std::uint32_t slots = 0;
            for (const auto &[id, worker] : fleet)
                slots += slotsOn(worker, worker.entry.capacity, job, name);
            if (slots < capacityFactor * job.steps[s].tasks)
                return false;
        }
    }
    return true;
}

std::uint32_t starvation_world::slotsOn(const fake_worker &worker, const resources &free,
                                        const jobs::job_definition &job,
                                        const std::string &step) const
{
    const auto &definition = job.steps[jobs::task_name::parse(step + ".0")->step];
    const bool labelled =
        definition.label.empty() || std::ranges::count(worker.entry.labels, definition.label) > 0;
    if (!worker.reachable || !worker.listed || !labelled
        || !allowed(worker.entry.id, step, job.queue))
        return 0;
    const auto count = std::min(jobs::tasksThatFit(jobs::effectiveDemand(definition), free),
                                capacityFactor * definition.tasks);
    if (definition.maxPerWorker == 0)
        return count;
    const auto placed = static_cast<std::uint32_t>(std::ranges::count_if(
        worker.active, [&](const auto &run) { return stepOf(run.first) == step; }));
    return std::min(count, definition.maxPerWorker - placed);
}

std::string starvation_world::submitUntilAccepted(jobs::job_definition job)
{
    job.payload = "payload";
    constexpr int maxTries = 2000;
    for (int i = 0; i < maxTries; ++i) {
        job.id = newId();
        if (fitsWhenEmpty(job))
            break;
    }
    m_submissions.push_back(job);
    return job.id;
}

void starvation_world::tick()
{
    elapsed += tickLength;
    std::erase_if(m_submissions, [this](const jobs::job_definition &job) {
        auto copy = job;
        if (scheduler.submit(std::move(copy), now(), wall()).status == jobs::submit_status::Refused)
            return false;
        m_jobs[job.id] = job;
        return true;
    });
    restartWorkers();
    endFinishedRuns();
    renewAllLeases();
    deliverAdvice();
    planAndExecute();
    checkSteps();
}

void starvation_world::run(milliseconds span)
{
    for (auto left = span; left.count() > 0; left -= tickLength)
        tick();
}

void starvation_world::planAndExecute()
{
    constexpr int maxRounds = 10;
    for (int round = 0; round < maxRounds; ++round) {
        for (const auto &name : adviceInstances)
            scheduler.advisorCallRouter().heartbeatReceived(name, milliseconds(200), now());
        const auto orders = scheduler.plan(now(), wall());
        requestAdvice(orders.advice);
        for (const auto &stop : orders.stops)
            execute(stop);
        const auto batch = scheduler.takeChanges(100);
        if (batch.empty() && orders.stops.empty())
            return;
        for (const auto &change : batch)
            record(change);
        for (const auto &order : scheduler.onBatchStored(batch, now()))
            start(order);
    }
}

void starvation_world::requestAdvice(const std::vector<jobs::advice_request> &requests)
{
    for (const auto &request : requests) {
        auto &idleAt = m_instanceIdleAt[request.instance];
        idleAt = std::max<duration>(idleAt, elapsed) + request.serviceTime * m_advisor.slowdown;
        m_calls.push_back({request, idleAt + advisorRoundTrip});
    }
}

void starvation_world::deliverAdvice()
{
    std::vector<advisor_call> due;
    std::erase_if(m_calls, [&](const advisor_call &call) {
        if (call.answerAt > elapsed)
            return false;
        due.push_back(call);
        return true;
    });
    for (const auto &call : due) {
        if (m_advisor.failEvery > 0
            && m_callsOfStep[call.request.step]++ % m_advisor.failEvery == 0) {
            scheduler.adviceFailed(call.request, jobs::job_scheduler::advice_failure::Rejected,
                                   now());
            continue;
        }
        std::map<std::string, std::string> tickets;
        // The validity begins at the advisor, half a round trip ago.
        const auto expires = call.answerAt - advisorRoundTrip / 2 + m_advisor.validity;
        for (const auto &id : call.request.workers) {
            if (allowed(id, call.request.step, call.request.queue))
                tickets[id] = std::to_string(expires.count());
        }
        scheduler.onAdvice(call.request, tickets, m_advisor.validity, now());
    }
}

const jobs::step_definition &starvation_world::definitionOf(const std::string &task) const
{
    const auto name = *jobs::task_name::parse(task);
    return m_jobs.at(name.job).steps[name.step];
}

void starvation_world::start(const jobs::start_order &order)
{
    if (m_advisor.used && (order.ticket.empty() || std::stoll(order.ticket) < elapsed.count())) {
        scheduler.onStartReply(order, jobs::start_result::NoTicket, workerClock(), now());
        return;
    }
    const auto &definition = definitionOf(order.task);
    const auto slow = m_slow.find(order.worker.id);
    const auto factor =
        slow != m_slow.end() && elapsed < slow->second.until ? slow->second.factor : 1;
    const auto variation = 0.8 + 0.4 * unitHash(order.task, m_seed);
    const auto length = std::chrono::duration_cast<duration>(definition.estimate * variation);
    m_work[{order.task, order.attempt}] = {elapsed, length * factor};
    execute(order);
    crashIfDue(order);
}

void starvation_world::crashIfDue(const jobs::start_order &order)
{
    const auto due = findByPrefix(m_crashesLeft, order.task);
    if (due == m_crashesLeft.end() || due->second == 0)
        return;
    --due->second;
    crashForAWhile(order.worker.id);
    renewLease(order.worker.id);
    m_calmFrom = std::max<duration>(m_calmFrom, elapsed + restartTime + calmAfterImpairment);
}

void starvation_world::failWorkers(const std::string &label, duration until)
{
    m_calmFrom = std::max(m_calmFrom, until + calmAfterImpairment);
    for (const auto &[id, worker] : fleet) {
        if (std::ranges::count(worker.entry.labels, label) == 0)
            continue;
        m_failingUntil[id] = until;
    }
}

void starvation_world::slowWorkers(const std::string &label, int factor, duration until)
{
    m_calmFrom = std::max(m_calmFrom, until + calmAfterImpairment);
    for (const auto &[id, worker] : fleet) {
        if (std::ranges::count(worker.entry.labels, label) == 0)
            continue;
        m_slow[id] = {factor, until};
    }
}

void starvation_world::endFinishedRuns()
{
    // A gang ends when all of its members have done their work.
    std::map<std::string, duration> gangEnds;
    const auto endOf = [&](const std::string &task, const fake_run &run) {
        const auto &work = m_work.at({task, run.attempt});
        return work.startedAt + work.length;
    };
    for (const auto &[id, worker] : fleet) {
        for (const auto &[task, run] : worker.active) {
            if (definitionOf(task).gang) {
                auto &end = gangEnds[stepOf(task)];
                end = std::max(end, endOf(task, run));
            }
        }
    }
    for (auto &[id, worker] : fleet) {
        const auto failing = m_failingUntil.find(id);
        const bool fails = failing != m_failingUntil.end() && elapsed < failing->second;
        const auto runs = worker.active;
        for (const auto &[task, run] : runs) {
            const auto &definition = definitionOf(task);
            if (fails) {
                end(id, task, jobs::run_outcome::Failed);
                continue;
            }
            const auto ends = definition.gang ? gangEnds.at(stepOf(task)) : endOf(task, run);
            if (!definition.longRunning && ends <= elapsed)
                endRun(id, task);
        }
    }
}

void starvation_world::endRun(const std::string &worker, const std::string &task)
{
    const auto failing = findByPrefix(m_failuresLeft, task);
    if (failing != m_failuresLeft.end() && failing->second > 0) {
        --failing->second;
        end(worker, task, jobs::run_outcome::Failed);
        return;
    }
    end(worker, task, jobs::run_outcome::Done);
}

std::uint32_t starvation_world::progressOf(const std::string &task, const fake_run &run) const
{
    if (definitionOf(task).longRunning)
        return 100;
    const auto &work = m_work.at({task, run.attempt});
    const auto passed = elapsed - work.startedAt;
    return static_cast<std::uint32_t>(std::min<std::int64_t>(99, passed * 100 / work.length));
}

std::uint32_t starvation_world::freeSlots(const jobs::step_run &step) const
{
    const auto &job = step.occurrence->job->definition;
    const auto name =
        stepOf(jobs::task_name {job.id, step.occurrence->number, step.number, 0}.text());
    std::uint32_t slots = 0;
    for (const auto &[id, worker] : fleet)
        slots += slotsOn(worker, worker.entry.capacity - m_used.at(id), job, name);
    return slots;
}

void starvation_world::checkSteps()
{
    m_used.clear();
    m_runsOfStep.clear();
    resources total;
    resources used;
    for (const auto &[id, worker] : fleet) {
        auto &sum = m_used[id];
        for (const auto &[task, run] : worker.active) {
            sum += jobs::effectiveDemand(definitionOf(task));
            ++m_runsOfStep[stepOf(task)];
        }
        total += worker.entry.capacity;
        used += sum;
    }
    const bool calm = elapsed >= m_calmFrom && used.milliCores * 2 < total.milliCores;
    for (const auto &[id, definition] : m_jobs) {
        const auto *job = scheduler.job(id);
        if (!job || job->state > jobs::job_state::Running)
            continue;
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const auto &step : occurrence.steps)
                checkStep(step, calm);
        }
    }
}

void starvation_world::checkStep(const jobs::step_run &step, bool calm)
{
    const auto &definition = *step.definition;
    const auto &job = step.occurrence->job->definition;
    const auto name =
        stepOf(jobs::task_name {job.id, step.occurrence->number, step.number, 0}.text());
    const auto runs = m_runsOfStep.find(name);
    const auto running = runs == m_runsOfStep.end() ? 0 : runs->second;
    // Each task that lasts counts for itself.
    const bool waits = definition.longRunning ? running < definition.tasks : running == 0;
    const auto needed = capacityFactor * (definition.gang ? definition.tasks : 1);
    if (!step.ready || step.finished() || !waits || !calm || freeSlots(step) < needed) {
        m_waitingSince.erase(name);
        return;
    }
    const auto since = m_waitingSince.try_emplace(name, elapsed).first->second;
    const auto bound = definition.longRunning ? maxLongRunningGap + maxWait : maxWait;
    if (elapsed - since < bound)
        return;
    m_waitingSince[name] = elapsed;
    if (starved.size() >= maxListed)
        return;
    auto text = "at " + std::to_string(std::chrono::duration_cast<milliseconds>(elapsed).count())
                + " ms, free slots " + std::to_string(freeSlots(step)) + ": ";
    for (const auto &line : scheduler.explain(job.id, now()))
        text += line + "; ";
    starved.push_back(text);
}

bool starvation_world::hasLongRunning(const std::string &id) const
{
    return std::ranges::any_of(m_jobs.at(id).steps, &jobs::step_definition::longRunning);
}

// Whether the job has runs, or the capacity that long-running tasks leave is enough for a step.
bool starvation_world::canProceed(const std::string &id) const
{
    const auto *job = scheduler.job(id);
    if (!job || job->occurrences.empty() || job->occupying > 0)
        return true;
    const auto &steps = job->occurrences.begin()->second.steps;
    return std::ranges::any_of(steps, [this](const jobs::step_run &step) {
        const auto needed = step.definition->gang ? step.definition->tasks : 1;
        return step.ready && !step.finished() && freeSlots(step) >= needed;
    });
}

// Twice the longest chain of work, with a wait before each step, and the time in which a quarter
// of the cores do all work that is left.
milliseconds starvation_world::drainBound() const
{
    milliseconds longest {0};
    double work = 0;
    double cores = 0;
    for (const auto &[id, worker] : fleet)
        cores += static_cast<double>(worker.entry.capacity.milliCores) / 1000;
    for (const auto &[id, definition] : m_jobs) {
        const auto *job = scheduler.job(id);
        if (!job || job->state > jobs::job_state::Running || hasLongRunning(id))
            continue;
        milliseconds chain {0};
        for (const auto &step : definition.steps) {
            chain += step.estimate + maxWait;
            work += static_cast<double>(step.demand.milliCores) / 1000 * step.tasks
                    * static_cast<double>(step.estimate.count());
        }
        longest = std::max(longest, chain);
    }
    const auto share = m_advisor.used ? m_advisor.allowedShare.value_or(0.25) : 1.0;
    const auto volume = work / (cores * share / 4);
    return longest * 2 + milliseconds(std::llround(volume)) + calmAfterImpairment;
}

void starvation_world::drain()
{
    const auto end = elapsed + drainBound();
    const auto openJobs = [this] {
        std::vector<std::string> open;
        for (const auto &[id, definition] : m_jobs) {
            const auto state = scheduler.state(id);
            // Tasks may fail too often only where workers fail them.
            const bool failed = state == jobs::job_state::Failed && !m_failingUntil.empty();
            if (!hasLongRunning(id) && state != jobs::job_state::Completed && !failed
                && canProceed(id))
                open.push_back(id);
        }
        return open;
    };
    while (elapsed < end && (!openJobs().empty() || !m_submissions.empty()))
        tick();
    for (const auto &id : openJobs()) {
        if (notCompleted.size() >= maxListed)
            return;
        std::string text = id + ": ";
        for (const auto &line : scheduler.explain(id, now()))
            text += line + "; ";
        notCompleted.push_back(text);
    }
}

} // namespace plantaingap::tests

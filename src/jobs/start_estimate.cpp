#include "jobs/start_estimate.h"

#include "jobs/task_capacity.h"
#include "jobs/worker_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantaingap::jobs {

namespace {

// Weight kept by older gangs for each new one; about 50 gangs count.
constexpr double historyDecay = 0.98;
// Weight of the prior "one run each", in gangs.
constexpr double historyPrior = 5;
// Max number of runs that are assumed for each gang.
constexpr double maxRunsPerGang = 3;

// A run past its expected end is assumed to end after this time.
constexpr milliseconds overrunAllowance {200};
// Workers that crashed, were cut off or shrank are assumed to have their capacity back after this
// time.
constexpr milliseconds recoveryAllowance {4000};
// Gangs get at least this share of the workers however many other tasks run.
constexpr double minGangShare = 0.3;

// The objective includes, for each step, one advisor call that names this many workers.
constexpr int workersInObjective = 30;
// Capacity of the workers named in a call, as a multiple of the demand, and the platform limit.
constexpr double namedForGang = 2.6;
constexpr double namedForTasks = 1.4;
constexpr double maxNamed = 100;

milliseconds rounded(fractional_ms value)
{
    return milliseconds(std::llround(value));
}

// Gangs use a part of the workers at a time, and other tasks the rest.
fractional_ms gangBacklog(const waiting_work &work, double runningTasks, const worker_pool &pool)
{
    const auto gangShare = std::max(1.0 - runningTasks, minGangShare);
    return std::max(work.gangTime / gangShare, (work.gangWork + work.taskWork) / pool.workers);
}

// Single tasks fit beside the gangs before them, which do not use all workers.
fractional_ms taskBacklog(const waiting_work &work, const worker_pool &pool)
{
    const auto usedByGangs = work.gangTime > 0 ? work.gangWork / work.gangTime : 0;
    const auto behindGangs = (work.taskWork + work.gangWork) / pool.workers;
    const auto besideGangs = work.taskWork / std::max(pool.workers - usedByGangs, 1.0);
    return std::min(behindGangs, besideGangs);
}

milliseconds callTime(const queue_definition &queue, int workersNamed)
{
    if (!queue.advisor)
        return milliseconds(0);
    const auto time = queue.advisor->perCall + queue.advisor->perWorker * workersNamed;
    return std::chrono::duration_cast<milliseconds>(time);
}

// Duration of the first advisor call of a step.
milliseconds firstCallTime(const queue_definition &queue, const step_definition &step,
                           const worker_pool &pool, double allowedShare)
{
    const auto needed = step.tasks / tasksPerWorker(step, pool) / allowedShare;
    const auto named = std::min(needed * (step.gang ? namedForGang : namedForTasks), maxNamed);
    return callTime(queue, static_cast<int>(std::ceil(named)));
}

using slot_release = std::pair<milliseconds, double>;

// Tasks of the step that fit into that capacity of one worker.
std::uint32_t slotsIn(const step_definition &step, const resources &free)
{
    const auto count = tasksThatFit(effectiveDemand(step), free);
    return step.maxPerWorker > 0 ? std::min(count, step.maxPerWorker) : count;
}

// Adds the slots for tasks of the step on the worker, now and as its runs end.
void addReleases(const step_definition &step, const worker &worker, time_point now,
                 std::vector<slot_release> &found)
{
    const auto all = slotsIn(step, worker.fullCapacity - worker.usedByLongRunning);
    std::uint32_t count = 0;
    const auto addUpTo = [&](std::uint32_t slots, milliseconds from) {
        slots = std::min(slots, all);
        if (slots > count)
            found.emplace_back(from, slots - count);
        count = std::max(count, slots);
    };
    if (worker.responsive) {
        auto free = worker.free();
        addUpTo(slotsIn(step, free), milliseconds(0));
        std::vector<std::pair<milliseconds, const task_run *>> ends;
        for (const auto *run : worker.runs) {
            if (run->step->definition->longRunning)
                continue;
            const bool started = run->startedAt != time_point {};
            const auto end = started ? expectedEnd(*run) - now : run->step->expectedDuration;
            ends.emplace_back(
                std::max(std::chrono::duration_cast<milliseconds>(end), overrunAllowance), run);
        }
        std::ranges::sort(ends, {}, &std::pair<milliseconds, const task_run *>::first);
        for (const auto &[end, run] : ends) {
            free += effectiveDemand(*run->step->definition);
            addUpTo(slotsIn(step, free), end);
        }
    }
    addUpTo(all, recoveryAllowance);
}

bool mayHold(const step_definition &gang, const worker &worker, const std::string &service)
{
    return serves(worker, service) && worker.hasLabel(gang.label);
}

// Whether the allowed share of the workers has slots for all members now, beside the gangs that
// were accepted a moment ago. Most gangs are narrow, and few workers tell it.
bool hasRoomNow(const step_definition &gang, const std::string &service, double share,
                const estimate_inputs &inputs)
{
    double slots = 0;
    double left = inputs.waiting.addedWidth(service);
    for (const auto &[id, worker] : inputs.workers.all()) {
        ++inputs.counts.workersExamined;
        if (!worker->responsive || !mayHold(gang, *worker, service))
            continue;
        const auto found = slotsIn(gang, worker->free());
        if (found == 0)
            continue;
        if (left > 0) {
            --left;
            continue;
        }
        slots += found;
        if (slots * share >= gang.tasks)
            return true;
    }
    return false;
}

// Time until the allowed share of the workers has slots for all members of the gang if nothing else
// starts.
milliseconds timeUntilRoom(const step_definition &gang, const std::string &service, double share,
                           const estimate_inputs &inputs)
{
    std::vector<slot_release> releases;
    inputs.counts.workersExamined += inputs.workers.all().size();
    for (const auto &[id, worker] : inputs.workers.all()) {
        if (mayHold(gang, *worker, service))
            addReleases(gang, *worker, inputs.now, releases);
    }
    std::ranges::sort(releases);
    double slots = 0;
    for (const auto &[from, added] : releases) {
        slots += added;
        if (slots * share >= gang.tasks)
            return from;
    }
    return releases.empty() ? milliseconds(0) : releases.back().first;
}

// A job whose steps are estimated.
class job_estimator
{
public:
    job_estimator(const job_definition &job, const queue_definition &queue,
                  const estimate_inputs &inputs)
        : m_job(job)
        , m_queue(queue)
        , m_inputs(inputs)
        , m_pool(inputs.waiting.pool(queue.service))
        , m_outlook(inputs.waiting.outlook(queue.name))
    {
        for (const auto &step : job.steps) {
            m_runTimes.push_back(inputs.durations.estimate(queue.name, step.estimate));
            m_adviceTimes.push_back(firstCallTime(queue, step, m_pool, m_outlook.allowedShare));
        }
    }

    job_estimate estimate()
    {
        job_estimate result;
        const auto steps = m_job.steps.size();
        const std::vector<milliseconds> calls(steps, adviceInObjective(m_queue));
        const auto longestChain = chain(calls, calls, result.starts);
        result.objective =
            m_queue.slack + rounded(static_cast<double>(longestChain.count()) * m_queue.stretch);
        result.end = longestChain;
        if (m_pool.workers == 0)
            return result;
        std::vector<milliseconds> room(steps, milliseconds(0));
        for (std::size_t i = 0; i < steps; ++i) {
            const auto &step = m_job.steps[i];
            const auto share = m_outlook.allowedShare;
            m_hasRoom.push_back(step.gang && hasRoomNow(step, m_queue.service, share, m_inputs));
            if (m_hasRoom.back())
                result.widthWithRoom += widthOf(step, m_pool);
            else if (step.gang)
                room[i] = timeUntilRoom(step, m_queue.service, share, m_inputs);
        }
        const auto latestStart = m_inputs.now + (result.objective - longestChain);
        const bool hasGang = std::ranges::any_of(m_job.steps, &step_definition::gang);
        const auto ahead = m_inputs.waiting.ahead({m_queue.priority == 0, latestStart, hasGang},
                                                  m_queue.service, m_inputs.counts);
        // While the job can be on time, late tasks yield to it, but late gangs do not.
        auto before = ahead.onTime;
        before += ahead.late;
        const auto lateTaskWork = ahead.late.taskWork;
        before.taskWork -= lateTaskWork;
        addWaits(before, ahead, room, result);
        if (result.end > result.objective) {
            before.taskWork += lateTaskWork;
            addWaits(before, ahead, room, result);
        }
        return result;
    }

private:
    void addWaits(const waiting_work &before, const work_ahead &ahead,
                  const std::vector<milliseconds> &room, job_estimate &result) const
    {
        const auto gangs = rounded(gangBacklog(before, ahead.runningTasks, m_pool));
        const auto tasks = rounded(taskBacklog(before, m_pool));
        std::vector<milliseconds> first;
        std::vector<milliseconds> later;
        for (std::size_t i = 0; i < m_job.steps.size(); ++i) {
            const bool gang = m_job.steps[i].gang;
            // A gang that has room now need not wait for those before it. Tickets are
            // requested while it waits.
            const auto claimed = m_hasRoom[i] ? milliseconds(0) : gangs + room[i];
            const auto wait = gang ? std::max(claimed, m_adviceTimes[i]) : tasks + m_adviceTimes[i];
            // Long-running tasks are placed before all others.
            first.push_back(m_job.steps[i].longRunning ? m_adviceTimes[i] : wait);
            later.push_back(std::max(room[i], m_adviceTimes[i]));
        }
        result.end = chain(first, later, result.starts);
        result.gangBacklog = gangs;
        result.gangsAhead = before.gangs;
        result.taskBacklog = tasks;
    }

    // Returns the end of the last step, with the time that each step waits for its start as a first
    // step or as a later one.
    milliseconds chain(const std::vector<milliseconds> &firstWaits,
                       const std::vector<milliseconds> &laterWaits,
                       std::vector<milliseconds> &starts) const
    {
        const auto steps = m_job.steps.size();
        starts.assign(steps, milliseconds(0));
        milliseconds last {0};
        for (std::size_t i = 0; i < steps; ++i) {
            milliseconds ready {0};
            for (const auto earlier : m_job.steps[i].after) {
                if (earlier < i)
                    ready = std::max(ready, starts[earlier] + m_runTimes[earlier]);
            }
            starts[i] = ready + (m_job.steps[i].after.empty() ? firstWaits[i] : laterWaits[i]);
            last = std::max(last, starts[i] + m_runTimes[i]);
        }
        return last;
    }

    const job_definition &m_job;
    const queue_definition &m_queue;
    const estimate_inputs &m_inputs;
    const worker_pool &m_pool;
    const queue_outlook &m_outlook;
    // By step.
    std::vector<milliseconds> m_runTimes;
    std::vector<milliseconds> m_adviceTimes;
    // It is a gang that has room now.
    std::vector<bool> m_hasRoom;
};

} // namespace

void gang_history::runStarted(const std::string &queue, bool afterFailure)
{
    auto &sums = m_queues[queue];
    sums.gangs = sums.gangs * historyDecay + (afterFailure ? 0 : 1);
    sums.repeatedRuns = sums.repeatedRuns * historyDecay + (afterFailure ? 1 : 0);
}

double gang_history::runsPerGang(const std::string &queue) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end())
        return 1;
    const auto &sums = found->second;
    return std::min(1 + sums.repeatedRuns / (sums.gangs + historyPrior), maxRunsPerGang);
}

milliseconds adviceInObjective(const queue_definition &queue)
{
    return callTime(queue, workersInObjective);
}

job_estimate estimateJob(const job_definition &job, const queue_definition &queue,
                         const estimate_inputs &inputs)
{
    return job_estimator(job, queue, inputs).estimate();
}

} // namespace plantaingap::jobs

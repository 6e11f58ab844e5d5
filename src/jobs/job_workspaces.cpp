#include "jobs/job_scheduler.h"
#include "jobs/task_capacity.h"

#include <algorithm>
#include <array>
#include <cmath>

// Admission of jobs by the limits and shares of their workspaces.
namespace plantaingap::jobs {

namespace {

// A gang larger than its workspace's limit waits for a change of the configuration.
constexpr std::chrono::seconds oversizedRetry {10};
// Retry delay of a job whose workspace's accepted work takes too long within its limit.
constexpr std::chrono::seconds limitRetry {2};
// Part of the fleet that may be planned for: some workers are always down, slow or too small for a
// task.
constexpr double plannableShare = 0.9;
// A result has little value after this many objectives; see maxCompletionFactor of the admission.
constexpr double maxCompletionFactor = 2.4;

double inCoreSeconds(const step_definition &step, milliseconds expected, double tasks)
{
    const std::chrono::duration<double> time = expected;
    return static_cast<double>(step.demand.milliCores) / 1000 * tasks * time.count();
}

} // namespace

double job_scheduler::shareOf(const workspace_account &account) const
{
    return account.weight / std::max<std::uint32_t>(m_options.partitions, 1);
}

std::uint32_t job_scheduler::retryDelay(const workspace_account *account, arrival arrived,
                                        std::chrono::seconds earliest, time_point now)
{
    if (!account)
        return static_cast<std::uint32_t>(earliest.count());
    return m_returns.assign(account->name, shareOf(*account), arrived.repeated, earliest, now);
}

double job_scheduler::coreSecondsOf(const job_definition &definition) const
{
    double sum = 0;
    for (const auto &step : definition.steps) {
        if (!step.longRunning && !step.bestEffort)
            sum += inCoreSeconds(step, m_durations.estimate(definition.queue, step.estimate),
                                 step.tasks);
    }
    return sum;
}

double job_scheduler::coresBeyondShares() const
{
    double cores = 0;
    for (const auto &[id, job] : m_jobs) {
        if (!job->beyondShare || job->state > job_state::Running)
            continue;
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const auto &step : occurrence.steps) {
                const auto left = step.tasks.size() - step.done;
                if (step.ready)
                    cores += static_cast<double>(step.definition->demand.milliCores) / 1000
                             * static_cast<double>(left);
            }
        }
    }
    return cores;
}

milliseconds job_scheduler::limitBacklog(const workspace_account &account, bool topPriority) const
{
    // Resource-seconds of what runs and waits.
    std::array<double, 3> work {};
    for (const auto &[id, job] : m_jobs) {
        if (job->account != &account || job->state > job_state::Running)
            continue;
        if (topPriority && queueOf(*job).priority != 0)
            continue;
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const auto &step : occurrence.steps) {
                const auto &demand = step.definition->demand;
                const std::chrono::duration<double> time = step.expectedDuration;
                const auto running = step.tasks.size() - step.waiting - step.done;
                // Half of a run is left in the mean.
                const auto taskSeconds =
                    (static_cast<double>(step.waiting) + static_cast<double>(running) / 2)
                    * time.count();
                if (step.definition->longRunning)
                    continue;
                work[0] += taskSeconds * static_cast<double>(demand.milliCores);
                work[1] += taskSeconds * static_cast<double>(demand.memoryMib);
                work[2] += taskSeconds * static_cast<double>(demand.accelerators);
            }
        }
    }
    const std::array<std::int64_t, 3> limits {account.limit.milliCores, account.limit.memoryMib,
                                              account.limit.accelerators};
    double seconds = 0;
    for (std::size_t i = 0; i < limits.size(); ++i) {
        if (limits[i] > 0)
            seconds = std::max(seconds, work[i] / static_cast<double>(limits[i]));
    }
    return milliseconds(std::llround(seconds * 1000 * m_options.partitions));
}

std::optional<submit_result> job_scheduler::checkWorkspace(const job_definition &definition,
                                                           workspace_account &account,
                                                           arrival arrived, time_point now)
{
    const auto refuse = [&](std::chrono::seconds earliest, std::string_view reason) {
        const auto delay = retryDelay(&account, arrived, earliest, now);
        submit_result refused {submit_status::Refused, delay, reason};
        refused.fields.emplace_back("workspace", account.name);
        refused.fields.emplace_back("beyond_share", arrived.beyond ? "1" : "0");
        return refused;
    };
    for (const auto &step : definition.steps) {
        if (step.gang && !account.holds(step.demand * step.tasks)) {
            ++account.refusedByLimit;
            return refuse(oversizedRetry, "a gang is larger than the limit of its workspace");
        }
    }
    const auto coreSeconds = coreSecondsOf(definition);
    if (!arrived.beyond) {
        if (!arrived.repeated)
            m_spareRoom.submitted(coreSeconds, now);
    } else {
        account.submittedBeyond += arrived.repeated ? 0 : 1;
        double widest = 0;
        for (const auto &step : definition.steps)
            widest =
                std::max(widest, static_cast<double>(step.demand.milliCores) / 1000 * step.tasks);
        const auto capacity =
            static_cast<double>(m_fleet.capacity().milliCores) / 1000 * plannableShare;
        if (widest + coresBeyondShares() + m_spareRoom.neededCores(now) > capacity) {
            ++account.refusedBeyond;
            return refuse(std::chrono::seconds(1), "beyond the share of its workspace");
        }
    }
    const bool mayWait = account.limited() && definition.occurrences == 0
                         && account.startable(account.used, 1, {}) == 0;
    if (mayWait) {
        const auto *queue = m_configuration.byName(definition.queue);
        milliseconds chain {0};
        milliseconds objective = queue->slack;
        for (const auto &step : definition.steps)
            chain += m_durations.estimate(queue->name, step.estimate);
        objective += milliseconds(std::llround(static_cast<double>(chain.count()) * queue->stretch
                                               * maxCompletionFactor));
        if (limitBacklog(account, queue->priority == 0) + chain > objective) {
            ++account.refusedByLimit;
            return refuse(limitRetry, "cannot finish within the limit of its workspace");
        }
    }
    return std::nullopt;
}

// Wanted is at most what workers have free: room within the limit that no worker has would be kept
// from other partitions.
std::vector<limit_use> job_scheduler::limitUses() const
{
    std::map<const workspace_account *, resources> waiting;
    for (const auto &[id, job] : m_jobs) {
        if (!job->account || !job->account->limited() || job->state > job_state::Running)
            continue;
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const auto &step : occurrence.steps) {
                if (step.ready)
                    waiting[job->account] += step.definition->demand * step.waiting;
            }
        }
    }
    resources free;
    // Runs of unknown demand count as all of their worker's remaining capacity.
    resources unidentified;
    for (const auto &[id, worker] : m_fleet.all()) {
        const auto left = greatest(worker->entry.capacity - worker->used, {});
        (worker->unaccountedRuns > 0 ? unidentified : free) += left;
    }
    std::vector<limit_use> uses;
    for (const auto &[name, account] : m_accounts.all()) {
        if (!account.limited())
            continue;
        const auto used = account.used + unidentified;
        const auto &demand = waiting[&account];
        const resources startable {std::min(demand.milliCores, free.milliCores),
                                   std::min(demand.memoryMib, free.memoryMib),
                                   std::min(demand.accelerators, free.accelerators)};
        uses.push_back({name, used, used + startable, {}});
    }
    return uses;
}

bool job_scheduler::setCeiling(const std::string &workspace, const resources &ceiling)
{
    auto &account = m_accounts.require(workspace);
    const bool changed = account.ceiling != ceiling;
    const bool raised = !account.ceiling || !ceiling.fitsIn(*account.ceiling);
    account.ceiling = ceiling;
    if (!raised)
        return changed;
    // Steps that the limit holds back are examined in the next pass.
    for (auto &[id, job] : m_jobs) {
        if (job->account != &account)
            continue;
        for (auto &[number, occurrence] : job->occurrences) {
            for (auto &step : occurrence.steps) {
                if (step.heldByLimit)
                    step.examineAt = {};
            }
        }
    }
    return changed;
}

} // namespace plantaingap::jobs

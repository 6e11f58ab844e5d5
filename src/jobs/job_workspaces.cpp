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
constexpr std::chrono::seconds shareRetry {1};
// Part of the fleet that may be planned for: some workers are always down, slow or too small for a
// task.
constexpr double plannableShare = 0.9;
// A result has little value after this many objectives; see maxCompletionFactor of the admission.
constexpr double maxCompletionFactor = 2.4;
// Sums over all jobs are made anew at most this often, and jobs that were accepted since are added.
constexpr std::chrono::milliseconds maxSumAge {100};

using amounts = std::array<double, 3>;

amounts scaled(const resources &demand, double factor)
{
    return {static_cast<double>(demand.milliCores) * factor,
            static_cast<double>(demand.memoryMib) * factor,
            static_cast<double>(demand.accelerators) * factor};
}

void add(amounts &sum, const amounts &more)
{
    for (std::size_t i = 0; i < sum.size(); ++i)
        sum[i] += more[i];
}

double inSeconds(milliseconds span)
{
    return std::chrono::duration<double>(span).count();
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
        if (step.longRunning || step.bestEffort)
            continue;
        const auto expected = m_durations.estimate(definition.queue, step.estimate);
        sum +=
            static_cast<double>(step.demand.milliCores) / 1000 * step.tasks * inSeconds(expected);
    }
    return sum;
}

// What the steps whose turn has come of jobs beyond the shares hold or wait for.
resources job_scheduler::heldBeyondShares(time_point now)
{
    if (now - m_beyondSharesAt < maxSumAge)
        return m_beyondShares;
    m_beyondSharesAt = now;
    m_beyondShares = {};
    for (const auto &[id, job] : m_jobs) {
        if (!job->beyondShare || job->state > job_state::Running)
            continue;
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const auto &step : occurrence.steps) {
                if (step.ready)
                    m_beyondShares += effectiveDemand(*step.definition)
                                      * static_cast<std::int64_t>(step.tasks.size() - step.done);
            }
        }
    }
    return m_beyondShares;
}

void job_scheduler::updateBacklog(workspace_account &account, time_point now) const
{
    auto &backlog = account.backlog;
    if (backlog.countedAt != time_point {} && now - backlog.countedAt < maxSumAge)
        return;
    backlog = {};
    backlog.countedAt = now;
    for (const auto &[id, job] : m_jobs) {
        if (job->account == &account && job->state <= job_state::Running)
            addToBacklog(account, *job);
    }
}

void job_scheduler::addToBacklog(workspace_account &account, const job_run &job) const
{
    auto &backlog = account.backlog;
    auto &waiting = queueOf(job).priority == 0 ? backlog.waitingTop : backlog.waitingOther;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const auto &step : occurrence.steps) {
            const auto &demand = step.definition->demand;
            const auto running = step.tasks.size() - step.waiting - step.done;
            if (step.definition->longRunning) {
                backlog.longRunning += demand * static_cast<std::int64_t>(step.tasks.size());
                continue;
            }
            const auto seconds = inSeconds(step.expectedDuration);
            add(waiting, scaled(demand, static_cast<double>(step.waiting) * seconds));
            // Half of a run is left in the mean.
            add(backlog.running, scaled(demand, static_cast<double>(running) * seconds / 2));
        }
    }
}

// Time until the accepted work of a workspace has run within its limit; only that of top priority
// goes before a job of top priority. None if long-running tasks take the whole limit.
std::optional<milliseconds> job_scheduler::limitBacklog(const workspace_account &account,
                                                        bool topPriority) const
{
    const auto &backlog = account.backlog;
    auto work = backlog.running;
    add(work, backlog.waitingTop);
    if (!topPriority)
        add(work, backlog.waitingOther);
    // In a divided cell the part of this partition grows with its work, at least to an equal one.
    const auto part = 1.0 / std::max<std::uint32_t>(m_options.partitions, 1);
    auto left = scaled(account.limit, part);
    if (account.ceiling) {
        const auto ceiling = scaled(*account.ceiling, 1);
        std::ranges::transform(left, ceiling, left.begin(), [](double equal, double granted) {
            return std::max(equal, granted);
        });
    }
    add(left, scaled(backlog.longRunning, -1));
    const auto limit = scaled(account.limit, 1);
    double seconds = 0;
    for (std::size_t i = 0; i < work.size(); ++i) {
        if (limit[i] == 0 || work[i] == 0)
            continue;
        if (left[i] <= 0)
            return std::nullopt;
        seconds = std::max(seconds, work[i] / left[i]);
    }
    return milliseconds(std::llround(seconds * 1000));
}

bool job_scheduler::hasSpareRoom(const job_definition &definition, time_point now)
{
    resources widest;
    for (const auto &step : definition.steps)
        widest = greatest(widest, effectiveDemand(step) * static_cast<std::int64_t>(step.tasks));
    const auto beyond = heldBeyondShares(now);
    const auto capacity = m_fleet.capacity();
    const auto used = m_fleet.used();
    // Work within the shares needs at least what it holds. Its long-running tasks, and what it
    // submitted before this leader's term, are known only so.
    const auto heldWithin = greatest(used - beyond, {});
    auto needed = heldWithin;
    needed.milliCores =
        std::max(needed.milliCores, static_cast<std::int64_t>(m_spareRoom.neededCores(now) * 1000));
    const auto planned = scaled(needed + beyond + widest, 1);
    const auto plannable = scaled(capacity, plannableShare);
    for (std::size_t i = 0; i < planned.size(); ++i) {
        if (planned[i] > plannable[i])
            return false;
    }
    return true;
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
    if (arrived.beyond) {
        account.submittedBeyond += arrived.repeated ? 0 : 1;
        // It would keep for ever what others need a moment later.
        const bool stays = definition.occurrences > 0
                           || std::ranges::any_of(definition.steps, &step_definition::longRunning);
        if (stays || !hasSpareRoom(definition, now)) {
            ++account.refusedBeyond;
            return refuse(shareRetry, "beyond the share of its workspace");
        }
    }
    if (!account.limited() || definition.occurrences > 0)
        return std::nullopt;
    updateBacklog(account, now);
    const auto *queue = m_configuration.byName(definition.queue);
    milliseconds chain {0};
    for (const auto &step : definition.steps)
        chain += m_durations.estimate(queue->name, step.estimate);
    const auto latestEnd = queue->slack
                           + milliseconds(std::llround(static_cast<double>(chain.count())
                                                       * queue->stretch * maxCompletionFactor));
    const auto backlog = limitBacklog(account, queue->priority == 0);
    if (!backlog || *backlog + chain > latestEnd) {
        ++account.refusedByLimit;
        return refuse(limitRetry, "cannot finish within the limit of its workspace");
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

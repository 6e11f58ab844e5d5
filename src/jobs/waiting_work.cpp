#include "jobs/waiting_work.h"

#include <algorithm>
#include <chrono>

namespace plantaingap::jobs {

namespace {

// The sums are made anew after this time, or after so many steps were added one by one.
constexpr std::chrono::milliseconds maxAge {100};
constexpr std::size_t maxAdded = 128;

} // namespace

waiting_work &waiting_work::operator+=(const waiting_work &other)
{
    gangTime += other.gangTime;
    gangWork += other.gangWork;
    gangs += other.gangs;
    taskWork += other.taskWork;
    return *this;
}

template<typename Key>
void work_by_key<Key>::sumUp()
{
    std::ranges::sort(m_sums, {}, &std::pair<Key, waiting_work>::first);
    waiting_work sum;
    for (auto &[key, work] : m_sums) {
        sum += work;
        work = sum;
    }
}

template<typename Key>
waiting_work work_by_key<Key>::upTo(Key key) const
{
    const auto after =
        std::ranges::upper_bound(m_sums, key, {}, &std::pair<Key, waiting_work>::first);
    return after == m_sums.begin() ? waiting_work {} : std::prev(after)->second;
}

bool waiting_work_index::outdated(time_point now) const
{
    return !m_valid || now - m_builtAt >= maxAge || m_added > maxAdded;
}

// Calls the function with each step that waits, and with the part of the workers that its running
// tasks occupy.
template<typename Function>
void waiting_work_index::forEachStep(const job_run &job, time_point now, Function function)
{
    const auto &queue = outlook(job.definition.queue);
    const auto &services = pool(queue.service);
    if (job.state > job_state::Running || services.workers == 0)
        return;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const auto &step : occurrence.steps) {
            const auto &definition = *step.definition;
            if (definition.bestEffort || definition.longRunning || step.finished())
                continue;
            waiting_step found;
            const auto part = partOfWorker(definition, services);
            const auto running = static_cast<double>(step.tasks.size() - step.waiting - step.done);
            const auto runningPart = definition.gang ? 0 : running * part / services.workers;
            const auto runTime = static_cast<fractional_ms>(step.expectedDuration.count());
            found.topPriority = queue.topPriority;
            found.gang = definition.gang;
            found.latestStart = step.onTimeUntil - step.remainingChain;
            found.late = now > found.latestStart;
            if (definition.gang && step.waiting > 0) {
                const auto width = widthOf(definition, services);
                const auto time = runTime * queue.runsPerGang;
                found.work.gangTime = time / gangsSideBySide(width, queue.allowedShare, services);
                found.work.gangWork = time * width;
                found.work.gangs = 1;
            } else if (now + step.remainingChain <= step.lateUntil) {
                // Results without value come last.
                found.work.taskWork = part * runTime * static_cast<double>(step.waiting);
            }
            function(found, queue.service, runningPart);
        }
    }
}

void waiting_work_index::addTo(service_sums &sums, const waiting_step &step)
{
    if (step.work.gangs == 0 && step.work.taskWork == 0)
        return;
    auto &priority = step.topPriority ? sums.top : sums.other;
    if (step.gang)
        priority.gangs += step.work;
    if (!step.late)
        (step.gang ? priority.gangsOnTime : priority.tasksOnTime).add(step.latestStart, step.work);
    else if (!step.gang)
        priority.lateTasks += step.work;
}

void waiting_work_index::rebuild(const job_map &jobs, const fleet &workers, queue_outlooks queues,
                                 time_point now, admission_counts &counts)
{
    m_queues = std::move(queues);
    m_pools = poolsOf(workers);
    m_services.clear();
    m_added = 0;
    m_builtAt = now;
    m_valid = true;
    ++counts.rebuilds;
    counts.workersExamined += workers.all().size();
    for (const auto &[id, job] : jobs) {
        if (job->beyondShare)
            continue;
        forEachStep(*job, now,
                    [&](const waiting_step &step, const std::string &service, double running) {
                        ++counts.stepsExamined;
                        auto &sums = m_services[service];
                        sums.runningTasks += running;
                        addTo(sums, step);
                    });
    }
    for (auto &[service, sums] : m_services) {
        for (auto *priority : {&sums.top, &sums.other}) {
            priority->gangsOnTime.sumUp();
            priority->tasksOnTime.sumUp();
        }
    }
}

void waiting_work_index::add(const job_run &job, double widthWithRoom, time_point now)
{
    if (!m_valid || job.beyondShare)
        return;
    if (widthWithRoom > 0)
        m_services[outlook(job.definition.queue).service].addedWidth += widthWithRoom;
    forEachStep(job, now, [&](const waiting_step &step, const std::string &service, double) {
        ++m_added;
        m_services[service].added.push_back(step);
    });
}

const worker_pool &waiting_work_index::pool(const std::string &service) const
{
    static const worker_pool none;
    const auto found = m_pools.find(service);
    return found == m_pools.end() ? none : found->second;
}

const queue_outlook &waiting_work_index::outlook(const std::string &queue) const
{
    static const queue_outlook unknown;
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? unknown : found->second;
}

double waiting_work_index::addedWidth(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.addedWidth;
}

// Jobs of top priority go before all others. Gangs claim their workers in the order of acceptance,
// so all that wait go before a new one. Among other steps on time those go first that must start
// sooner; late ones yield to them.
bool waiting_work_index::goesBefore(const waiting_step &step, const job_rank &rank)
{
    if (rank.topPriority && !step.topPriority)
        return false;
    if (step.gang && rank.gang)
        return true;
    if (step.late)
        return !step.gang;
    return (step.topPriority && !rank.topPriority) || step.latestStart <= rank.latestStart;
}

work_ahead waiting_work_index::ahead(const job_rank &rank, const std::string &service,
                                     admission_counts &counts) const
{
    work_ahead ahead;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return ahead;
    const auto &sums = found->second;
    const auto add = [&](const priority_sums &priority, time_point latestStart) {
        ahead.onTime += rank.gang ? priority.gangs : priority.gangsOnTime.upTo(latestStart);
        ahead.onTime += priority.tasksOnTime.upTo(latestStart);
        ahead.late += priority.lateTasks;
    };
    ahead.runningTasks = sums.runningTasks;
    add(sums.top, rank.topPriority ? rank.latestStart : time_point::max());
    if (!rank.topPriority)
        add(sums.other, rank.latestStart);
    counts.stepsExamined += sums.added.size();
    for (const auto &step : sums.added) {
        if (goesBefore(step, rank))
            (step.late && !step.gang ? ahead.late : ahead.onTime) += step.work;
    }
    return ahead;
}

} // namespace plantaingap::jobs

#include "jobs/backlog_partition.h"

#include "jobs/task_capacity.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::tests {

namespace {

// Latency from the leader to the advisor and back.
constexpr milliseconds advisorRoundTrip {40};
// Entries of one write to the store.
constexpr std::size_t maxEntriesPerWrite = 100;
// A worker without news is asked for its report at this interval.
constexpr int ticksPerReport = 20;
constexpr int ticksPerSweep = 40;
// Instances that call the advisor for one partition.
constexpr int adviceCallers = 48;
constexpr milliseconds heartbeatInterval {500};
constexpr std::uint32_t maxWaitingAdviceCalls = 24;
// A gang wider than this share of the capacity that its partition is expected to be allowed is
// refused.
constexpr double maxGangShareOfPartition = 0.8;
// Tasks of a step differ in their work by this share at most.
constexpr double unevenness = 0.15;
constexpr std::uint32_t twice = 2;
constexpr std::uint32_t maxPercent = 99;

std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31U);
}

std::string stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

std::string stepName(const std::string &job, std::uint32_t step)
{
    return stepOf(jobs::task_name {job, 0, step, 0}.text());
}

duration scaled(duration span, double factor)
{
    return duration(std::llround(static_cast<double>(span.count()) * factor));
}

} // namespace

double uniformHash(const std::string &text, std::uint64_t seed)
{
    const auto bits = mixed(std::hash<std::string> {}(text) ^ mixed(seed));
    return static_cast<double>(bits >> 11U) / static_cast<double>(1ULL << 53U);
}

backlog_partition::backlog_partition(int workers, resources capacity,
                                     const std::vector<backlog_queue> &queues,
                                     std::uint32_t partitions, std::uint64_t seed)
    : scheduler_world(workers, capacity, std::nullopt, optionsOf(partitions))
    , m_seed(seed)
    , m_queues(queues)
{
    jobs::cell_configuration configuration;
    configuration.version = 2;
    for (const auto &queue : queues)
        configuration.queues.push_back(queue.definition);
    scheduler.configure(configuration);
    adviceInstances.clear();
    for (int i = 0; i < adviceCallers; ++i)
        adviceInstances.push_back("e" + std::to_string(i));
    list();
    renewAllLeases();
    renewAllLeases();
}

void backlog_partition::setWorkspaces(std::vector<jobs::workspace_definition> workspaces)
{
    auto configuration = scheduler.configuration();
    ++configuration.version;
    configuration.workspaces = std::move(workspaces);
    scheduler.configure(std::move(configuration));
}

jobs::scheduler_options backlog_partition::optionsOf(std::uint32_t partitions)
{
    jobs::scheduler_options options;
    options.maxWaitingAdviceCalls = std::max<std::uint32_t>(maxWaitingAdviceCalls / partitions, 1);
    if (partitions > 1)
        options.maxGangShare = maxGangShareOfPartition;
    return options;
}

jobs::submit_result backlog_partition::submit(const backlog_job &job)
{
    auto definition = job.definition;
    const auto result = scheduler.submit(std::move(definition), now(), wall());
    if (result.status != jobs::submit_status::Refused)
        m_jobs.try_emplace(job.definition.id, job);
    return result;
}

void backlog_partition::tick()
{
    elapsed += tickLength;
    restartWorkers();
    endDueWork();
    renewDueLeases();
    deliverAdvice();
    storeBatch();
    plan();
    if (++m_ticks % ticksPerSweep == 0)
        scheduler.workers().sweep(now());
    scheduler.takeEvents();
}

void backlog_partition::crashWorkers(double share, milliseconds downTime)
{
    restartTime = downTime;
    std::vector<std::string> chosen;
    for (const auto &[id, worker] : fleet) {
        const auto draw = uniformHash(id + "@" + std::to_string(elapsed.count()), m_seed);
        if (worker.reachable && worker.listed && draw < share)
            chosen.push_back(id);
    }
    for (const auto &id : chosen) {
        const auto lost = fleet[id].active;
        crashForAWhile(id);
        for (const auto &[task, run] : lost)
            breakGang(task, run.attempt);
    }
}

bool backlog_partition::allowed(const std::string &worker, const std::string &step,
                                const std::string &queue) const
{
    const auto found = std::ranges::find_if(
        m_queues, [&](const auto &candidate) { return candidate.definition.name == queue; });
    // A worker that has come back under another name is the same machine to the advisor.
    const auto machine = worker.substr(0, worker.find('+'));
    return uniformHash(machine + "/" + step, m_seed) < found->allowedShare;
}

bool backlog_partition::holdsGangsTwice(const jobs::job_definition &job) const
{
    for (std::uint32_t s = 0; s < job.steps.size(); ++s) {
        if (!job.steps[s].gang)
            continue;
        const auto name = stepName(job.id, s);
        std::uint32_t slots = 0;
        for (const auto &[id, worker] : fleet) {
            if (worker.reachable && worker.listed && allowed(id, name, job.queue))
                slots += jobs::tasksThatFit(job.steps[s].demand, worker.entry.capacity);
        }
        if (slots < twice * job.steps[s].tasks)
            return false;
    }
    return true;
}

resources backlog_partition::freeOn(const fake_worker &worker) const
{
    auto free = worker.entry.capacity;
    for (const auto &[task, run] : worker.active)
        free -= jobs::effectiveDemand(definitionOf(task));
    return free;
}

std::vector<resources> backlog_partition::freeCapacity() const
{
    std::vector<resources> found;
    for (const auto &[id, worker] : fleet) {
        if (worker.reachable && worker.listed)
            found.push_back(freeOn(worker));
    }
    return found;
}

std::uint32_t backlog_partition::freeAllowedSlots(const jobs::step_run &step) const
{
    const auto &job = step.occurrence->job->definition;
    const auto name = stepName(job.id, step.number);
    std::uint32_t slots = 0;
    for (const auto &[id, worker] : fleet) {
        if (worker.reachable && worker.listed && allowed(id, name, job.queue))
            slots += jobs::tasksThatFit(step.definition->demand, freeOn(worker));
    }
    return slots;
}

resources backlog_partition::upCapacity() const
{
    resources sum;
    for (const auto &[id, worker] : fleet) {
        if (worker.reachable && worker.listed)
            sum += worker.entry.capacity;
    }
    return sum;
}

resources backlog_partition::activeDemand() const
{
    resources sum;
    for (const auto &[id, worker] : fleet) {
        for (const auto &[task, run] : worker.active)
            sum += jobs::effectiveDemand(definitionOf(task));
    }
    return sum;
}

void backlog_partition::addJobsAtWork(std::unordered_set<std::string> &found) const
{
    for (const auto &[id, worker] : fleet) {
        for (const auto &[task, run] : worker.active)
            found.insert(jobOf(task));
    }
}

const jobs::step_definition &backlog_partition::definitionOf(const std::string &task) const
{
    const auto name = *jobs::task_name::parse(task);
    return m_jobs.at(name.job).definition.steps[name.step];
}

std::uint32_t backlog_partition::progressOf(const std::string &task, const fake_run &run) const
{
    const auto found = m_runs.find(task);
    if (found == m_runs.end() || found->second.attempt != run.attempt || !found->second.startedAt)
        return 0;
    const auto passed = elapsed - *found->second.startedAt;
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(maxPercent, passed * 100 / found->second.length));
}

void backlog_partition::renewDueLeases()
{
    std::vector<std::string> due;
    std::uint64_t number = m_ticks;
    for (const auto &[id, worker] : scheduler.workers().all()) {
        const auto &fake = fleet.at(id);
        const bool hasNews = !fake.ended.empty() || !fake.reachable || fake.replaced
                             || worker->reports == 0 || !worker->responsive;
        if (hasNews || number % ticksPerReport == 0)
            due.push_back(id);
        ++number;
    }
    for (const auto &id : due)
        renewLease(id);
}

void backlog_partition::requestAdvice(const std::vector<jobs::advice_request> &requests)
{
    for (const auto &request : requests) {
        ++counts.adviceCalls;
        auto &idleAt = m_instanceIdleAt[request.instance];
        idleAt = std::max<duration>(idleAt, elapsed + advisorRoundTrip / 2) + request.serviceTime;
        m_calls.push_back({request, idleAt + advisorRoundTrip / 2});
    }
}

void backlog_partition::deliverAdvice()
{
    std::vector<advisor_call> due;
    std::erase_if(m_calls, [&](const advisor_call &call) {
        if (call.answerAt > elapsed)
            return false;
        due.push_back(call);
        return true;
    });
    for (const auto &call : due) {
        const auto &queue = *scheduler.configuration().byName(call.request.queue);
        std::map<std::string, std::string> tickets;
        // The validity begins at the advisor, half a round trip ago.
        const auto expires = call.answerAt - advisorRoundTrip / 2 + queue.advisor->validity;
        for (const auto &id : call.request.workers) {
            if (allowed(id, call.request.step, call.request.queue))
                tickets[id] =
                    std::to_string(expires.count()) + ":" + std::to_string(++m_lastTicket);
        }
        counts.ticketsGranted += tickets.size();
        scheduler.onAdvice(call.request, tickets, queue.advisor->validity, now());
    }
}

void backlog_partition::storeBatch()
{
    const auto batch = std::exchange(m_writing, {});
    for (const auto &change : batch)
        record(change);
    for (const auto &order : scheduler.onBatchStored(batch, now()))
        start(order);
}

void backlog_partition::plan()
{
    for (const auto &name : adviceInstances)
        scheduler.advisorCallRouter().heartbeatReceived(name, heartbeatInterval, now());
    const auto begin = std::chrono::steady_clock::now();
    const auto orders = scheduler.plan(now(), wall());
    counts.planTimes.push_back(std::chrono::steady_clock::now() - begin);
    requestAdvice(orders.advice);
    for (const auto &order : orders.stops)
        stop(order);
    m_writing = scheduler.takeChanges(maxEntriesPerWrite);
}

bool backlog_partition::ticketValid(const jobs::start_order &order)
{
    const auto &job = m_jobs.at(jobOf(order.task)).definition;
    if (!scheduler.configuration().byName(job.queue)->advisor)
        return true;
    if (order.ticket.empty() || std::stoll(order.ticket) < elapsed.count())
        return false;
    if (m_usedTickets.insert(order.ticket).second)
        ++counts.ticketsUsed;
    return true;
}

void backlog_partition::start(const jobs::start_order &order)
{
    ++counts.starts;
    if (!ticketValid(order)) {
        ++counts.startsRejected;
        scheduler.onStartReply(order, jobs::start_result::NoTicket, workerClock(), now());
        return;
    }
    execute(order);
    const auto &worker = fleet.at(order.worker.id);
    const auto run = worker.active.find(order.task);
    if (run == worker.active.end() || run->second.attempt != order.attempt)
        return;
    if (!resources {}.fitsIn(freeOn(worker)))
        ++counts.startsOverCapacity;
    startWork(order);
}

void backlog_partition::startWork(const jobs::start_order &order)
{
    const auto name = *jobs::task_name::parse(order.task);
    const auto &job = m_jobs.at(name.job);
    auto &run = m_runs[order.task];
    run = {order.attempt, order.worker.id, std::nullopt, job.work[name.step]};
    const auto step = stepOf(order.task);
    if (job.definition.steps[name.step].gang) {
        auto &gang = m_gangs[{step, order.attempt}];
        gang.members.emplace_back(order.worker.id, order.task);
        if (gang.members.size() == job.definition.steps[name.step].tasks)
            startGangWork(step, order.attempt, job);
        return;
    }
    run.startedAt = elapsed;
    const auto uneven = 1 - unevenness + 2 * unevenness * uniformHash(order.task, m_seed);
    run.length = scaled(run.length, uneven);
    const auto share = workUntilEnd(order.task, job.failureShare[name.step]);
    m_ends.push({elapsed + scaled(run.length, share), order.task, order.attempt,
                 share < 1 ? jobs::run_outcome::Failed : jobs::run_outcome::Done});
}

// A gang works from the moment when its last member has started.
void backlog_partition::startGangWork(const std::string &step, std::uint32_t attempt,
                                      const backlog_job &job)
{
    const auto &members = m_gangs.at({step, attempt}).members;
    for (const auto &[worker, task] : members)
        m_runs.at(task).startedAt = elapsed;
    const auto number = jobs::task_name::parse(members.front().second)->step;
    const auto share = workUntilEnd(step, job.failureShare[number]);
    m_ends.push({elapsed + scaled(job.work[number], share), step, attempt,
                 share < 1 ? jobs::run_outcome::Failed : jobs::run_outcome::Done});
}

std::optional<double> backlog_partition::failureOfFirstRun(const std::string &name,
                                                           double share) const
{
    if (uniformHash(name + "!", m_seed) >= share)
        return std::nullopt;
    return uniformHash(name + "?", m_seed);
}

double backlog_partition::workUntilEnd(const std::string &name, double failureShare)
{
    const auto failure = failureOfFirstRun(name, failureShare);
    return failure && m_failedOnce.insert(name).second ? *failure : 1.0;
}

duration backlog_partition::timeLostByFailures(const backlog_job &job) const
{
    duration sum {0};
    for (std::uint32_t s = 0; s < job.definition.steps.size(); ++s) {
        const auto &step = job.definition.steps[s];
        double longest = 0;
        for (std::uint32_t i = 0; i < (step.gang ? 1 : step.tasks); ++i) {
            const auto task = jobs::task_name {job.definition.id, 0, s, i}.text();
            const auto name = step.gang ? stepOf(task) : task;
            longest = std::max(longest, failureOfFirstRun(name, job.failureShare[s]).value_or(0));
        }
        sum += scaled(job.work[s], longest);
    }
    return sum;
}

void backlog_partition::stop(const jobs::stop_order &order)
{
    const auto &active = fleet.at(order.worker.id).active;
    const auto run = active.find(order.task);
    const auto attempt = run == active.end() ? 0 : run->second.attempt;
    execute(order);
    if (attempt > 0 && attempt <= order.attempt)
        breakGang(order.task, attempt);
}

void backlog_partition::endDueWork()
{
    while (!m_ends.empty() && m_ends.top().at <= elapsed) {
        const auto due = m_ends.top();
        m_ends.pop();
        if (m_gangs.contains({due.task, due.attempt})) {
            endGang(due.task, due.attempt, due.outcome);
            continue;
        }
        const auto run = m_runs.find(due.task);
        if (run == m_runs.end() || run->second.attempt != due.attempt)
            continue;
        const auto &active = fleet.at(run->second.worker).active;
        const auto found = active.find(due.task);
        if (found == active.end() || found->second.attempt != due.attempt)
            continue;
        counts.runsFailed += due.outcome == jobs::run_outcome::Failed ? 1 : 0;
        end(run->second.worker, due.task, due.outcome);
    }
}

// All members end as done; or one fails, which ends the others.
void backlog_partition::endGang(const std::string &step, std::uint32_t attempt,
                                jobs::run_outcome outcome)
{
    const auto members = m_gangs.at({step, attempt}).members;
    if (outcome == jobs::run_outcome::Failed) {
        ++counts.runsFailed;
        end(members.front().first, members.front().second, outcome);
        breakGang(members.front().second, attempt);
        return;
    }
    for (const auto &[worker, task] : members)
        end(worker, task, outcome);
    m_gangs.erase({step, attempt});
}

void backlog_partition::breakGang(const std::string &task, std::uint32_t attempt)
{
    const auto gang = m_gangs.find({stepOf(task), attempt});
    if (gang == m_gangs.end())
        return;
    const auto members = std::move(gang->second.members);
    m_gangs.erase(gang);
    ++counts.gangsBroken;
    for (const auto &[worker, member] : members) {
        const auto &active = fleet.at(worker).active;
        const auto run = active.find(member);
        if (run != active.end() && run->second.attempt == attempt)
            end(worker, member, jobs::run_outcome::GangMemberEnded);
    }
}

} // namespace plantaingap::tests

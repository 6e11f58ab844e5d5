#include "jobs/gang_backlog_world.h"

#include "jobs/task_capacity.h"

#include <algorithm>

namespace plantaingap::tests {

namespace {

using std::chrono::seconds;

constexpr milliseconds trafficTime {34'000};
// From the rule: from this time after the end of traffic on, no job may be without a run for this
// long while there is capacity for it twice over and under half of all cores are in use.
constexpr milliseconds finishTime {14'000};
constexpr milliseconds maxIdle {3000};
constexpr std::uint32_t capacityFactor = 2;

constexpr int maxSends = 5;
constexpr milliseconds clientBudget {8000};

// Waves of crashes, of this share of the workers, which are down for this long.
constexpr milliseconds crashTimes[] = {milliseconds(7000), milliseconds(15'000),
                                       milliseconds(23'000), milliseconds(31'000)};
constexpr double crashShare = 0.14;
constexpr milliseconds downTime {4500};

constexpr double lateWorthShare = 0.2;
constexpr int maxIdDraws = 300;
constexpr std::uint64_t ticksPerCheck = 4;
constexpr std::uint64_t ticksPerSecond = 1000 / backlog_partition::tickLength.count();
constexpr std::size_t maxListed = 3;
// Ranks by work, as shares of the jobs of a kind, where the largest tenth and the fifth below end.
constexpr double bandEnds[] = {0.1, 0.3};

} // namespace

backlog_outcomes &backlog_outcomes::operator+=(const backlog_outcomes &other)
{
    sent += other.sent;
    accepted += other.accepted;
    refusedForGood += other.refusedForGood;
    onTime += other.onTime;
    late += other.late;
    worthless += other.worthless;
    worthOwed += other.worthOwed;
    worthEarned += other.worthEarned;
    return *this;
}

namespace {

constexpr std::uint64_t excessSeedOffset = 7919;
// From the deployments with workspaces.
constexpr double weightFactor = 1.9;

backlog_options excessOptions(backlog_options options)
{
    options.seed += excessSeedOffset;
    return options;
}

std::string workspaceName(int index)
{
    return "workspace-" + std::to_string(index);
}

} // namespace

gang_backlog_world::gang_backlog_world(const backlog_options &options)
    : m_options(options)
    , m_traffic(options)
    , m_excess(excessOptions(options))
{
    for (std::uint32_t i = 0; i < options.partitions; ++i) {
        m_partitions.push_back(std::make_unique<backlog_partition>(
            options.workersPerPartition, backlog_traffic::workerCapacity, m_traffic.queues(),
            options.partitions, options.seed * options.partitions + i));
        if (options.workspaces > 0 && options.declared)
            m_partitions.back()->setWorkspaces(workspaces());
    }
}

std::vector<jobs::workspace_definition> gang_backlog_world::workspaces() const
{
    std::vector<jobs::workspace_definition> found;
    for (int i = 0; i < m_options.workspaces; ++i) {
        const auto usual = m_traffic.usualPerSecond() / m_options.workspaces;
        found.push_back({workspaceName(i), {}, usual * weightFactor, {}});
    }
    return found;
}

void gang_backlog_world::run()
{
    constexpr auto ruleEnd = trafficTime + finishTime + maxIdle;
    while (elapsed() < ruleEnd || (!m_open.empty() && elapsed() < trafficTime + drainBound()))
        tick();
    for (const auto &client : m_open) {
        recordEnd(client, jobs::job_state::Running);
        std::string text = client.job.definition.id + ":";
        for (const auto &line :
             client.partition->scheduler.explain(client.job.definition.id, client.partition->now()))
            text += " " + line;
        unfinished.push_back(text);
    }
}

duration gang_backlog_world::drainBound() const
{
    const auto cores = static_cast<double>(backlog_traffic::workerCapacity.milliCores) / 1000
                       * m_options.workers();
    const std::chrono::duration<double> halfInUse(m_coreSecondsSent / (cores / 2));
    return finishTime + std::chrono::duration_cast<duration>(halfInUse);
}

void gang_backlog_world::tick()
{
    if (elapsed() < trafficTime) {
        createJobs();
        sendJobs();
        crashWorkers();
    } else if (!m_unsent.empty()) {
        for (const auto &client : m_unsent)
            recordRefused(client);
        m_unsent.clear();
    }
    for (const auto &partition : m_partitions)
        partition->tick();
    recordEnds();
    if (++m_ticks % ticksPerCheck == 0) {
        observeGangs();
        checkRule();
    }
    if (observer && m_ticks % ticksPerSecond == 0)
        observer();
}

void gang_backlog_world::createJobs()
{
    for (std::size_t kind = 0; kind < backlogKinds; ++kind) {
        for (auto left = m_traffic.arrivals(kind, elapsed()); left > 0; --left) {
            auto created = createJob(kind, m_traffic);
            ++m_figures.kinds[kind].sent;
            m_figures.kinds[kind].worthOwed += created.worth;
            if (m_options.workspaces > 0) {
                auto &definition = created.job.definition;
                definition.workspace = workspaceName(static_cast<int>(
                    uniformHash(definition.id, m_options.seed) * m_options.workspaces));
                auto &outcomes = m_figures.workspaces[definition.workspace];
                ++outcomes.sent;
                outcomes.worthOwed += created.worth;
            }
            m_unsent.push_back(std::move(created));
        }
    }
    createExcess();
}

void gang_backlog_world::createExcess()
{
    for (std::size_t kind = 0; kind < backlogKinds; ++kind) {
        for (auto left = m_excess.excessArrivals(kind, elapsed()); left > 0; --left) {
            auto created = createJob(kind, m_excess);
            created.excess = true;
            created.job.definition.workspace = workspaceName(0);
            m_unsent.push_back(std::move(created));
        }
    }
}

gang_backlog_world::client_job gang_backlog_world::createJob(std::size_t kind,
                                                             backlog_traffic &traffic)
{
    client_job created;
    created.kind = kind;
    created.firstSent = elapsed();
    created.nextSend = elapsed();
    created.job = traffic.createJob(kind);
    chooseId(created, traffic);
    const auto timeLost = created.partition->timeLostByFailures(created.job);
    created.objective = m_traffic.objectiveOf(kind, created.job, timeLost);
    created.worth = m_traffic.worthOf(kind, created.job);
    m_coreSecondsSent += coreSeconds(created.job) * (timeLost > duration(0) ? 2 : 1);
    return created;
}

// An id whose partition allows the job's gangs enough workers.
void gang_backlog_world::chooseId(client_job &created, backlog_traffic &traffic)
{
    for (int i = 0; i < maxIdDraws; ++i) {
        const auto number = traffic.randomNumber();
        auto &id = created.job.definition.id;
        id.clear();
        for (int shift = 60; shift >= 0; shift -= 4)
            id += "0123456789abcdef"[(number >> shift) & 15U];
        created.partition = m_partitions[number % m_partitions.size()].get();
        if (created.partition->holdsGangsTwice(created.job.definition))
            return;
    }
}

void gang_backlog_world::sendJobs()
{
    std::erase_if(m_unsent, [this](client_job &client) {
        return client.nextSend <= elapsed() && send(client);
    });
}

bool gang_backlog_world::send(client_job &client)
{
    const auto result = client.partition->submit(client.job);
    if (result.status != jobs::submit_status::Refused) {
        if (!client.excess)
            ++m_figures.kinds[client.kind].accepted;
        m_open.push_back(client);
        return true;
    }
    ++client.sends;
    client.nextSend = elapsed() + seconds(result.retryAfterSeconds);
    if (client.sends < maxSends && client.nextSend <= client.firstSent + clientBudget)
        return false;
    recordRefused(client);
    return true;
}

void gang_backlog_world::crashWorkers()
{
    if (!m_options.workersLeave || m_nextCrash >= std::size(crashTimes)
        || elapsed() < crashTimes[m_nextCrash])
        return;
    ++m_nextCrash;
    for (const auto &partition : m_partitions)
        partition->crashWorkers(crashShare, downTime);
}

void gang_backlog_world::recordEnds()
{
    std::erase_if(m_open, [this](const client_job &client) {
        const auto &finished = client.partition->finished;
        const auto found = finished.find(client.job.definition.id);
        if (found == finished.end())
            return false;
        recordEnd(client, found->second);
        return true;
    });
}

void gang_backlog_world::recordEnd(const client_job &client, jobs::job_state state)
{
    const auto taken = elapsed() - client.firstSent;
    m_figures.drainTime = std::max<duration>(m_figures.drainTime, elapsed() - trafficTime);
    if (state != jobs::job_state::Completed || taken > client.objective * jobs::lateSpanFactor)
        recordOutcome(client, &backlog_outcomes::worthless, 0);
    else if (taken > client.objective)
        recordOutcome(client, &backlog_outcomes::late, client.worth * lateWorthShare);
    else
        recordOutcome(client, &backlog_outcomes::onTime, client.worth);
}

void gang_backlog_world::recordRefused(const client_job &client)
{
    recordOutcome(client, &backlog_outcomes::refusedForGood, 0);
}

void gang_backlog_world::recordOutcome(const client_job &client,
                                       std::uint64_t backlog_outcomes::*outcome, double worthEarned)
{
    if (client.excess)
        return;
    auto &outcomes = m_figures.kinds[client.kind];
    ++(outcomes.*outcome);
    outcomes.worthEarned += worthEarned;
    if (!client.job.definition.workspace.empty()) {
        auto &mine = m_figures.workspaces[client.job.definition.workspace];
        ++(mine.*outcome);
        mine.worthEarned += worthEarned;
    }
    m_outcomes[client.kind].push_back(
        {coreSeconds(client.job), outcome, client.worth, worthEarned});
}

void gang_backlog_world::observeGangs()
{
    for (auto &client : m_open) {
        const auto *job = client.partition->scheduler.job(client.job.definition.id);
        const bool waits = job && !job->occurrences.empty()
                           && std::ranges::any_of(job->occurrences.begin()->second.steps,
                                                  [](const jobs::step_run &step) {
                                                      return step.definition->gang && step.ready
                                                             && step.waiting == step.tasks.size();
                                                  });
        if (!waits) {
            client.gangReadySince.reset();
            continue;
        }
        if (!client.gangReadySince)
            client.gangReadySince = elapsed();
        m_figures.longestGangWait =
            std::max(m_figures.longestGangWait, elapsed() - *client.gangReadySince);
    }
}

const jobs::step_run *gang_backlog_world::stepThatMustRun(const client_job &client,
                                                          const std::vector<resources> &free)
{
    const auto *job = client.partition->scheduler.job(client.job.definition.id);
    if (!job || job->occurrences.empty())
        return nullptr;
    const auto hasCapacity = [&free](const jobs::step_run &step) {
        if (!step.ready || step.finished())
            return false;
        const auto needed = capacityFactor * (step.definition->gang ? step.definition->tasks : 1);
        std::uint32_t slots = 0;
        for (const auto &amount : free)
            slots += jobs::tasksThatFit(jobs::effectiveDemand(*step.definition), amount);
        return slots >= needed;
    };
    const auto &steps = job->occurrences.begin()->second.steps;
    const auto found = std::ranges::find_if(steps, hasCapacity);
    return found == steps.end() ? nullptr : &*found;
}

void gang_backlog_world::checkRule()
{
    if (elapsed() < trafficTime + finishTime)
        return;
    resources capacity;
    resources used;
    std::vector<resources> free;
    std::unordered_set<std::string> atWork;
    for (const auto &partition : m_partitions) {
        capacity += partition->upCapacity();
        used += partition->activeDemand();
        const auto added = partition->freeCapacity();
        free.insert(free.end(), added.begin(), added.end());
        partition->addJobsAtWork(atWork);
    }
    const bool mostlyFree = used.milliCores * 2 < capacity.milliCores;
    for (auto &client : m_open) {
        const auto &id = client.job.definition.id;
        const auto *step =
            mostlyFree && !atWork.contains(id) ? stepThatMustRun(client, free) : nullptr;
        if (!step) {
            client.idleSince.reset();
            continue;
        }
        if (!client.idleSince)
            client.idleSince = elapsed();
        if (!client.lost && elapsed() - *client.idleSince >= maxIdle)
            recordLost(client, *step);
    }
}

void gang_backlog_world::recordLost(client_job &client, const jobs::step_run &step)
{
    const auto &partition = *client.partition;
    client.lost = true;
    ++lost;
    const auto needed = step.definition->gang ? step.definition->tasks : 1;
    lostBesideAllowed += partition.freeAllowedSlots(step) >= needed ? 1 : 0;
    std::uint32_t slotsAnywhere = 0;
    for (const auto &other : m_partitions)
        slotsAnywhere += other->freeAllowedSlots(step);
    lostBesideAllowedAnywhere += slotsAnywhere >= capacityFactor * needed ? 1 : 0;
    const auto used = partition.activeDemand().milliCores;
    lostInBusyPartition += used * 2 >= partition.upCapacity().milliCores ? 1 : 0;
    if (lostExamples.size() >= maxListed)
        return;
    auto text = "at " + std::to_string(std::chrono::duration_cast<milliseconds>(elapsed()).count())
                + " ms:";
    for (const auto &line : partition.scheduler.explain(client.job.definition.id, partition.now()))
        text += " " + line;
    lostExamples.push_back(text);
}

std::vector<std::string> gang_backlog_world::startedTwice() const
{
    std::vector<std::string> found;
    for (const auto &partition : m_partitions)
        found.insert(found.end(), partition->startedTwice.begin(), partition->startedTwice.end());
    return found;
}

std::array<backlog_outcomes, backlogBands>
gang_backlog_world::splitBySize(std::vector<sized_outcome> outcomes)
{
    std::ranges::sort(outcomes, std::ranges::greater(), &sized_outcome::coreSeconds);
    std::array<backlog_outcomes, backlogBands> bands;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        const auto rank = static_cast<double>(i) / static_cast<double>(outcomes.size());
        const auto beyond =
            std::ranges::count_if(bandEnds, [rank](double end) { return rank >= end; });
        auto &band = bands[static_cast<std::size_t>(beyond)];
        const auto &job = outcomes[i];
        ++band.sent;
        band.accepted += job.outcome == &backlog_outcomes::refusedForGood ? 0 : 1;
        ++(band.*job.outcome);
        band.worthOwed += job.worthOwed;
        band.worthEarned += job.worthEarned;
    }
    return bands;
}

backlog_figures gang_backlog_world::figures() const
{
    auto sum = m_figures;
    for (const auto &partition : m_partitions) {
        const auto &counts = partition->counts;
        sum.counts.starts += counts.starts;
        sum.counts.startsOverCapacity += counts.startsOverCapacity;
        sum.counts.startsRejected += counts.startsRejected;
        sum.counts.runsFailed += counts.runsFailed;
        sum.counts.gangsBroken += counts.gangsBroken;
        sum.counts.adviceCalls += counts.adviceCalls;
        sum.counts.ticketsGranted += counts.ticketsGranted;
        sum.counts.ticketsUsed += counts.ticketsUsed;
        sum.counts.planTimes.insert(sum.counts.planTimes.end(), counts.planTimes.begin(),
                                    counts.planTimes.end());
    }
    std::ranges::sort(sum.counts.planTimes);
    for (std::size_t kind = 0; kind < backlogKinds; ++kind)
        sum.bands[kind] = splitBySize(m_outcomes[kind]);
    return sum;
}

std::string gang_backlog_world::loadText() const
{
    auto text = std::to_string(std::chrono::duration_cast<seconds>(elapsed()).count()) + " s:";
    for (const auto &partition : m_partitions) {
        const auto load = partition->scheduler.load(partition->now());
        text += " [" + std::to_string(load.used.milliCores / 1000) + "/"
                + std::to_string(load.capacity.milliCores / 1000) + " reserved "
                + std::to_string(load.reservedMilliCores / 1000) + " waiting "
                + std::to_string(load.waitingTasks) + " calls wanted "
                + std::to_string(load.stepsNeedingAdvice) + " open "
                + std::to_string(partition->scheduler.advisorCallRouter().openCalls()) + "]";
    }
    return text;
}

} // namespace plantaingap::tests

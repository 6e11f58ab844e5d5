#include "jobs/gang_backlog_world.h"

#include "jobs/task_capacity.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace plantaingap::tests {

namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr resources workerCapacity {64'000, 131'072, 0};
// Size of the deployment whose traffic the kinds below describe.
constexpr double modelledWorkers = 1100;
constexpr double modelledPartitions = 3;

constexpr milliseconds trafficTime {34'000};
// From the rule: from this time after the end of traffic on, no job may be without a run for this
// long while there is capacity for it twice over and under half of all cores are in use.
constexpr milliseconds finishTime {14'000};
constexpr milliseconds maxIdle {3000};
constexpr std::uint32_t capacityFactor = 2;
// All jobs have ended by this time after the end of traffic.
constexpr milliseconds drainBound {90'000};

constexpr int maxSends = 5;
constexpr milliseconds clientBudget {8000};
// Traffic swings by this share with this period.
constexpr double swing = 0.15;
constexpr double swingPeriod = 11;

// Waves of crashes, of this share of the workers, which are down for this long.
constexpr milliseconds crashTimes[] = {milliseconds(7000), milliseconds(15'000),
                                       milliseconds(23'000), milliseconds(31'000)};
constexpr double crashShare = 0.14;
constexpr milliseconds downTime {4500};

// The widest gang needs this share of the workers of a partition as whole workers.
constexpr double maxGangShare = 0.125;
constexpr double lateWorthShare = 0.2;
constexpr double minWorthShare = 0.3;
constexpr double maxWorthFactor = 4;
constexpr int adviceWorkersInChain = 30;
constexpr int maxIdDraws = 300;
constexpr std::uint64_t ticksPerCheck = 4;
constexpr std::uint64_t ticksPerSecond = 1000 / backlog_partition::tickLength.count();
constexpr std::size_t maxListed = 3;

struct distribution
{
    double mean;
    double spread;
    double max;
};

struct job_kind
{
    const char *queue;
    std::uint32_t priority;
    // Jobs a second of the modelled deployment.
    double perSecond;
    // Share of the jobs with a second step.
    double secondStep;
    distribution width;
    // With fewer workers steps are as much narrower; otherwise jobs are as much fewer.
    bool widthScales;
    distribution milliCores;
    distribution memoryMib;
    distribution workMs;
    double gangShare;
    // Standard deviation of the logarithm of estimate / work.
    double estimateError;
    // Share of the tasks whose first run fails; a member ends its gang.
    double failureShare;
    double stretch;
    milliseconds slack;
    microseconds perCall;
    microseconds perWorker;
    double allowedShare;
    double worth;
};

constexpr std::uint32_t attempts = 3;
constexpr milliseconds ticketValidity {1500};

constexpr job_kind kinds[backlogKinds] = {
    {"large",
     1,
     8.49,
     0.2,
     {40, 0.8, 240},
     true,
     {18'000, 0.4, 30'000},
     {33'000, 0.5, 66'000},
     {4000, 0.5, 10'000},
     1,
     0.9,
     0.05,
     2.2,
     milliseconds(1200),
     microseconds(380'000),
     microseconds(5500),
     0.25,
     9.24},
    {"middle",
     2,
     11.2,
     0.5,
     {40, 0.6, 200},
     true,
     {11'000, 0.45, 33'000},
     {16'000, 0.6, 47'000},
     {2700, 0.5, 6800},
     0,
     0.2,
     0.005,
     4,
     milliseconds(3000),
     microseconds(140'000),
     microseconds(2000),
     0.45,
     4.38},
    {"quick",
     0,
     177,
     0,
     {4.5, 0.8, 27},
     false,
     {16'000, 0.45, 47'000},
     {29'000, 0.6, 86'000},
     {640, 0.5, 1600},
     0.3,
     0.9,
     0.005,
     1.5,
     milliseconds(600),
     microseconds(8900),
     microseconds(130),
     0.7,
     0.388},
};

std::vector<backlog_queue> queuesOfKinds()
{
    std::vector<backlog_queue> queues;
    for (const auto &kind : kinds) {
        const jobs::advisor_cost cost {kind.perCall, kind.perWorker, ticketValidity};
        queues.push_back({{kind.queue, "host", std::string("/") + kind.queue + "/", "service",
                           kind.priority, attempts, kind.stretch, kind.slack, cost},
                          kind.allowedShare});
    }
    return queues;
}

double coreSeconds(const backlog_job &job)
{
    double sum = 0;
    for (std::size_t s = 0; s < job.work.size(); ++s) {
        const auto &step = job.definition.steps[s];
        sum += static_cast<double>(step.demand.milliCores) / 1000 * step.tasks
               * std::chrono::duration<double>(job.work[s]).count();
    }
    return sum;
}

double meanCoreSeconds(const job_kind &kind, double widthFactor)
{
    return (1 + kind.secondStep) * kind.width.mean * widthFactor * kind.milliCores.mean / 1000
           * kind.workMs.mean / 1000;
}

} // namespace

gang_backlog_world::gang_backlog_world(const backlog_options &options)
    : m_options(options)
    , m_random(options.seed)
{
    for (std::uint32_t i = 0; i < options.partitions; ++i) {
        m_partitions.push_back(std::make_unique<backlog_partition>(
            options.workersPerPartition, workerCapacity, queuesOfKinds(), options.partitions,
            options.seed * options.partitions + i));
    }
}

const char *gang_backlog_world::nameOfKind(std::size_t kind)
{
    return kinds[kind].queue;
}

double gang_backlog_world::uniform()
{
    return static_cast<double>(m_random() >> 11U) / static_cast<double>(1ULL << 53U);
}

double gang_backlog_world::spreadAround(double mean, double spread, double max)
{
    const auto radius = std::sqrt(-2 * std::log(1 - uniform()));
    const auto normal = radius * std::cos(2 * std::numbers::pi * uniform());
    return std::min(max, mean * std::exp(spread * normal - spread * spread / 2));
}

void gang_backlog_world::run()
{
    constexpr auto ruleEnd = trafficTime + finishTime + maxIdle;
    while (elapsed() < ruleEnd || (!m_open.empty() && elapsed() < trafficTime + drainBound))
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

void gang_backlog_world::tick()
{
    if (elapsed() < trafficTime) {
        createJobs();
        sendJobs();
        crashWorkers();
    } else if (!m_unsent.empty()) {
        for (const auto &client : m_unsent)
            ++m_figures.kinds[client.kind].refusedForGood;
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
    const auto workers = m_options.workersPerPartition * m_options.partitions;
    const auto now = std::chrono::duration<double>(elapsed()).count();
    const auto wave = 1 + swing * std::sin(2 * std::numbers::pi * now / swingPeriod);
    for (std::size_t kind = 0; kind < backlogKinds; ++kind) {
        const auto scale = kinds[kind].widthScales ? m_options.partitions / modelledPartitions
                                                   : workers / modelledWorkers;
        const auto rate = kinds[kind].perSecond * scale * m_options.load * wave;
        std::poisson_distribution<int> arrivals(rate / ticksPerSecond);
        for (auto left = arrivals(m_random); left > 0; --left)
            m_unsent.push_back(createJob(kind));
    }
}

gang_backlog_world::client_job gang_backlog_world::createJob(std::size_t kind)
{
    const auto &profile = kinds[kind];
    client_job created;
    created.kind = kind;
    created.firstSent = elapsed();
    created.nextSend = elapsed();
    created.job.definition.queue = profile.queue;
    created.job.definition.payload = "payload";
    created.job.definition.steps = createSteps(kind, created.job);
    chooseId(created);
    duration chain = created.partition->timeLostByFailures(created.job);
    for (const auto &work : created.job.work)
        chain += work + profile.perCall + profile.perWorker * adviceWorkersInChain;
    created.objective = std::chrono::duration_cast<duration>(chain * profile.stretch)
                        + std::chrono::duration_cast<duration>(profile.slack);
    const auto workers = m_options.workersPerPartition * m_options.partitions;
    const auto mean =
        meanCoreSeconds(profile, profile.widthScales ? workers / modelledWorkers : 1.0);
    created.worth =
        profile.worth
        * std::min(maxWorthFactor,
                   minWorthShare + (1 - minWorthShare) * coreSeconds(created.job) / mean);
    ++m_figures.kinds[kind].sent;
    m_figures.kinds[kind].worthOwed += created.worth;
    return created;
}

std::vector<jobs::step_definition> gang_backlog_world::createSteps(std::size_t kind,
                                                                   backlog_job &job)
{
    const auto &profile = kinds[kind];
    const auto workers = m_options.workersPerPartition * m_options.partitions;
    const auto widthFactor = profile.widthScales ? workers / modelledWorkers : 1.0;
    const auto draw = [this](const distribution &from, double factor = 1) {
        return spreadAround(from.mean * factor, from.spread, from.max * factor);
    };
    const int count = uniform() < profile.secondStep ? 2 : 1;
    std::vector<jobs::step_definition> steps;
    for (int s = 0; s < count; ++s) {
        auto &step = steps.emplace_back();
        step.tasks = std::max<std::uint32_t>(1, std::lround(draw(profile.width, widthFactor)));
        step.demand = {std::lround(draw(profile.milliCores)), std::lround(draw(profile.memoryMib)),
                       0};
        step.gang = step.tasks > 1 && uniform() < profile.gangShare;
        if (s > 0)
            step.after = {static_cast<std::uint32_t>(s - 1)};
        if (step.gang) {
            const auto workersAtMost = m_options.workersPerPartition * maxGangShare;
            const auto tasksAtMost =
                workersAtMost * jobs::tasksThatFit(step.demand, workerCapacity);
            step.tasks = std::min(step.tasks, static_cast<std::uint32_t>(tasksAtMost));
        }
        const auto work = draw(profile.workMs);
        job.work.push_back(
            std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(work)));
        step.estimate = milliseconds(
            std::max<long>(1, std::lround(spreadAround(work, profile.estimateError, 10 * work))));
        // Narrower gangs fail as often as those of the modelled deployment.
        const auto members = step.gang ? step.tasks / widthFactor : 1;
        const auto share = 1 - std::pow(1 - profile.failureShare, members);
        job.failureShare.push_back(m_options.membersFail ? share : 0);
    }
    return steps;
}

// An id whose partition allows the job's gangs enough workers.
void gang_backlog_world::chooseId(client_job &created)
{
    for (int i = 0; i < maxIdDraws; ++i) {
        const auto number = m_random();
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
    auto &outcomes = m_figures.kinds[client.kind];
    if (result.status != jobs::submit_status::Refused) {
        ++outcomes.accepted;
        m_open.push_back(client);
        return true;
    }
    ++client.sends;
    client.nextSend = elapsed() + seconds(result.retryAfterSeconds);
    if (client.sends < maxSends && client.nextSend <= client.firstSent + clientBudget)
        return false;
    ++outcomes.refusedForGood;
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
    auto &outcomes = m_figures.kinds[client.kind];
    const auto taken = elapsed() - client.firstSent;
    m_figures.drainTime = std::max<duration>(m_figures.drainTime, elapsed() - trafficTime);
    if (state != jobs::job_state::Completed || taken > client.objective * jobs::lateSpanFactor) {
        ++outcomes.worthless;
    } else if (taken > client.objective) {
        ++outcomes.late;
        outcomes.worthEarned += client.worth * lateWorthShare;
    } else {
        ++outcomes.onTime;
        outcomes.worthEarned += client.worth;
    }
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

bool gang_backlog_world::mustRun(const client_job &client, const std::vector<resources> &free) const
{
    const auto *job = client.partition->scheduler.job(client.job.definition.id);
    if (!job || job->occurrences.empty())
        return false;
    const auto hasCapacity = [&free](const jobs::step_run &step) {
        if (!step.ready || step.finished())
            return false;
        const auto needed = capacityFactor * (step.definition->gang ? step.definition->tasks : 1);
        std::uint32_t slots = 0;
        for (const auto &amount : free)
            slots += jobs::tasksThatFit(jobs::effectiveDemand(*step.definition), amount);
        return slots >= needed;
    };
    return std::ranges::any_of(job->occurrences.begin()->second.steps, hasCapacity);
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
        if (!mostlyFree || atWork.contains(id) || !mustRun(client, free)) {
            client.idleSince.reset();
            continue;
        }
        if (!client.idleSince)
            client.idleSince = elapsed();
        if (client.lost || elapsed() - *client.idleSince < maxIdle)
            continue;
        client.lost = true;
        ++lost;
        if (lostExamples.size() >= maxListed)
            continue;
        std::string text =
            "at " + std::to_string(std::chrono::duration_cast<milliseconds>(elapsed()).count())
            + " ms:";
        for (const auto &line : client.partition->scheduler.explain(id, client.partition->now()))
            text += " " + line;
        lostExamples.push_back(text);
    }
}

std::vector<std::string> gang_backlog_world::startedTwice() const
{
    std::vector<std::string> found;
    for (const auto &partition : m_partitions)
        found.insert(found.end(), partition->startedTwice.begin(), partition->startedTwice.end());
    return found;
}

backlog_figures gang_backlog_world::figures() const
{
    auto sum = m_figures;
    for (const auto &partition : m_partitions) {
        const auto &counts = partition->counts;
        sum.counts.starts += counts.starts;
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

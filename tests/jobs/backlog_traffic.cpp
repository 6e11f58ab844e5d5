#include "jobs/backlog_traffic.h"

#include "jobs/task_capacity.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace plantaingap::tests {

namespace {

using std::chrono::microseconds;

// Traffic swings by this share with this period in seconds.
constexpr double swing = 0.15;
constexpr double swingPeriod = 11;
// The widest gang needs this share of the workers of a partition as whole workers.
constexpr double maxGangShare = 0.125;
constexpr double minWorthShare = 0.3;
constexpr double maxWorthFactor = 4;
constexpr int adviceWorkersInChain = 30;
constexpr double maxEstimateFactor = 10;

struct distribution
{
    double mean;
    double spread;
    double max;
};

// For some time traffic is so many times the usual.
struct burst
{
    milliseconds from {0};
    milliseconds until {0};
    double factor = 1;
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
    burst moreTraffic;
};

constexpr std::uint32_t attempts = 3;
constexpr milliseconds ticketValidity {1500};

// Size of a deployment and its kinds of jobs.
struct site_traffic
{
    double workers;
    double partitions;
    std::array<job_kind, backlogKinds> kinds;
};

constexpr site_traffic largeSite {1100,
                                  3,
                                  {{
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
                                       9.24,
                                       {milliseconds(20'000), milliseconds(24'000), 1.7}},
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
                                       4.38,
                                       {}},
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
                                       0.388,
                                       {milliseconds(9000), milliseconds(13'000), 1.8}},
                                  }}};

constexpr site_traffic grownSite {350,
                                  1,
                                  {{
                                      {"large",
                                       1,
                                       5.42,
                                       0.2,
                                       {20, 0.8, 120},
                                       true,
                                       {18'000, 0.4, 30'000},
                                       {33'000, 0.5, 65'000},
                                       {4000, 0.5, 10'000},
                                       1,
                                       0.9,
                                       0.05,
                                       2.2,
                                       milliseconds(1200),
                                       microseconds(340'000),
                                       microseconds(4900),
                                       0.25,
                                       10.4,
                                       {milliseconds(17'000), milliseconds(21'000), 1.9}},
                                      {"middle",
                                       2,
                                       8.95,
                                       0.5,
                                       {25, 0.8, 150},
                                       true,
                                       {6900, 0.45, 21'000},
                                       {10'000, 0.6, 30'000},
                                       {2700, 0.5, 6800},
                                       0,
                                       0.2,
                                       0.005,
                                       4,
                                       milliseconds(3000),
                                       microseconds(100'000),
                                       microseconds(1400),
                                       0.45,
                                       3.94,
                                       {}},
                                      {"quick",
                                       0,
                                       125,
                                       0,
                                       {3.2, 0.8, 19},
                                       false,
                                       {9900, 0.45, 30'000},
                                       {18'000, 0.6, 55'000},
                                       {640, 0.5, 1600},
                                       0.3,
                                       0.9,
                                       0.005,
                                       1.5,
                                       milliseconds(600),
                                       microseconds(7200),
                                       microseconds(100),
                                       0.7,
                                       0.396,
                                       {milliseconds(5200), milliseconds(9200), 2.2}},
                                  }}};

const site_traffic &trafficOf(modelled_site site)
{
    return site == modelled_site::Large ? largeSite : grownSite;
}

double meanCoreSeconds(const job_kind &kind, double widthFactor)
{
    return (1 + kind.secondStep) * kind.width.mean * widthFactor * kind.milliCores.mean / 1000
           * kind.workMs.mean / 1000;
}

} // namespace

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

backlog_traffic::backlog_traffic(const backlog_options &options)
    : m_options(options)
    , m_random(options.seed)
{ }

std::vector<backlog_queue> backlog_traffic::queues() const
{
    std::vector<backlog_queue> found;
    for (const auto &kind : trafficOf(m_options.site).kinds) {
        const jobs::advisor_cost cost {kind.perCall, kind.perWorker, ticketValidity};
        found.push_back({{kind.queue, "host", std::string("/") + kind.queue + "/", "service",
                          kind.priority, attempts, kind.stretch, kind.slack, cost},
                         kind.allowedShare});
    }
    return found;
}

const char *backlog_traffic::nameOfKind(std::size_t kind)
{
    return largeSite.kinds[kind].queue;
}

double backlog_traffic::uniform()
{
    return static_cast<double>(m_random() >> 11U) / static_cast<double>(1ULL << 53U);
}

double backlog_traffic::spreadAround(double mean, double spread, double max)
{
    const auto radius = std::sqrt(-2 * std::log(1 - uniform()));
    const auto normal = radius * std::cos(2 * std::numbers::pi * uniform());
    return std::min(max, mean * std::exp(spread * normal - spread * spread / 2));
}

double backlog_traffic::widthFactor(std::size_t kind) const
{
    const auto &site = trafficOf(m_options.site);
    return site.kinds[kind].widthScales
               ? m_options.workersPerPartition * site.partitions / site.workers
               : 1.0;
}

int backlog_traffic::arrivals(std::size_t kind, duration elapsed)
{
    const auto &site = trafficOf(m_options.site);
    const auto &profile = site.kinds[kind];
    const auto now = std::chrono::duration<double>(elapsed).count();
    const auto wave = 1 + swing * std::sin(2 * std::numbers::pi * now / swingPeriod);
    const auto &more = profile.moreTraffic;
    const auto factor = elapsed >= more.from && elapsed < more.until ? more.factor : 1.0;
    const auto tick = std::chrono::duration<double>(backlog_partition::tickLength).count();
    std::poisson_distribution<int> count(profile.perSecond * scaleOf(kind) * m_options.load * factor
                                         * wave * tick);
    return count(m_random);
}

double backlog_traffic::scaleOf(std::size_t kind) const
{
    const auto &site = trafficOf(m_options.site);
    return site.kinds[kind].widthScales ? m_options.partitions / site.partitions
                                        : m_options.workers() / site.workers;
}

double backlog_traffic::usualPerSecond() const
{
    double sum = 0;
    for (std::size_t kind = 0; kind < backlogKinds; ++kind)
        sum += trafficOf(m_options.site).kinds[kind].perSecond * scaleOf(kind) * m_options.load;
    return sum;
}

int backlog_traffic::excessArrivals(std::size_t kind, duration elapsed)
{
    if (m_options.workspaces == 0 || elapsed < m_options.hotFrom || elapsed >= m_options.hotUntil)
        return 0;
    const auto usual = trafficOf(m_options.site).kinds[kind].perSecond * scaleOf(kind)
                       * m_options.load / m_options.workspaces;
    const auto tick = std::chrono::duration<double>(backlog_partition::tickLength).count();
    std::poisson_distribution<int> count(usual * (m_options.hotFactor - 1) * tick);
    return m_options.hotFactor > 1 ? count(m_random) : 0;
}

backlog_job backlog_traffic::createJob(std::size_t kind)
{
    backlog_job job;
    job.definition.queue = trafficOf(m_options.site).kinds[kind].queue;
    job.definition.payload = "payload";
    addStep(kind, job);
    if (uniform() < trafficOf(m_options.site).kinds[kind].secondStep) {
        addStep(kind, job);
        job.definition.steps.back().after = {0};
    }
    return job;
}

void backlog_traffic::addStep(std::size_t kind, backlog_job &job)
{
    const auto &profile = trafficOf(m_options.site).kinds[kind];
    const auto draw = [this](const distribution &from, double factor = 1) {
        return spreadAround(from.mean * factor, from.spread, from.max * factor);
    };
    auto &step = job.definition.steps.emplace_back();
    step.tasks = std::max<std::uint32_t>(1, std::lround(draw(profile.width, widthFactor(kind))));
    step.demand = {std::lround(draw(profile.milliCores)), std::lround(draw(profile.memoryMib)), 0};
    step.gang = step.tasks > 1 && uniform() < profile.gangShare;
    if (step.gang) {
        const auto widest = m_options.workersPerPartition * maxGangShare
                            * jobs::tasksThatFit(step.demand, workerCapacity);
        step.tasks = std::min(step.tasks, static_cast<std::uint32_t>(widest));
    }
    const auto work = draw(profile.workMs);
    const auto declared = spreadAround(work, profile.estimateError, maxEstimateFactor * work);
    step.estimate = milliseconds(std::max<long>(1, std::lround(declared)));
    job.work.push_back(
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(work)));
    // Narrower gangs fail as often as those of the modelled deployment.
    const auto members = step.gang ? step.tasks / widthFactor(kind) : 1;
    job.failureShare.push_back(
        m_options.membersFail ? 1 - std::pow(1 - profile.failureShare, members) : 0);
}

duration backlog_traffic::objectiveOf(std::size_t kind, const backlog_job &job,
                                      duration timeLost) const
{
    const auto &profile = trafficOf(m_options.site).kinds[kind];
    auto chain = timeLost;
    for (const auto &work : job.work)
        chain += work + profile.perCall + profile.perWorker * adviceWorkersInChain;
    return std::chrono::duration_cast<duration>(chain * profile.stretch)
           + std::chrono::duration_cast<duration>(profile.slack);
}

double backlog_traffic::worthOf(std::size_t kind, const backlog_job &job) const
{
    const auto &profile = trafficOf(m_options.site).kinds[kind];
    const auto relative = coreSeconds(job) / meanCoreSeconds(profile, widthFactor(kind));
    return profile.worth * std::min(maxWorthFactor, minWorthShare + (1 - minWorthShare) * relative);
}

} // namespace plantaingap::tests

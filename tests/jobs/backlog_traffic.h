#ifndef PLANTAINGAP_TESTS_JOBS_BACKLOG_TRAFFIC_H
#define PLANTAINGAP_TESTS_JOBS_BACKLOG_TRAFFIC_H

#include "jobs/backlog_partition.h"

#include <random>

// A random mix of gangs, wide steps and quick steps, in proportion to the number of workers.
namespace plantaingap::tests {

// The deployment whose traffic is played: ctrs-sched-large, or ctrs-sched-grown, whose gangs are
// half as wide and twice as many.
enum class modelled_site : std::uint8_t { Large, Grown };

struct backlog_options
{
    modelled_site site = modelled_site::Large;
    // Traffic as a multiple of the usual, which needs 82% of all cores, and more in bursts.
    double load = 1;
    bool membersFail = false;
    bool workersLeave = false;
    std::uint32_t partitions = 3;
    int workersPerPartition = 64;
    std::uint64_t seed = 1;
    // Jobs belong to so many workspaces in equal parts; the first one sends so many times its usual
    // in that time. 0: none.
    int workspaces = 0;
    double hotFactor = 1;
    milliseconds hotFrom {9000};
    milliseconds hotUntil {17'000};
    // The configuration declares the workspaces, with 1.9 times what each usually sends as its
    // weight.
    bool declared = true;

    int workers() const { return workersPerPartition * static_cast<int>(partitions); }
};

// Gangs of queue "large", wide steps of "middle" and small steps of "quick", which has priority.
inline constexpr std::size_t backlogKinds = 3;

class backlog_traffic
{
public:
    explicit backlog_traffic(const backlog_options &options);

    std::vector<backlog_queue> queues() const;
    static const char *nameOfKind(std::size_t kind);

    // Number of jobs that arrive in one tick.
    int arrivals(std::size_t kind, duration elapsed);
    // Those that the first workspace sends beyond its usual.
    int excessArrivals(std::size_t kind, duration elapsed);
    // Jobs of all kinds that arrive in a second in the mean.
    double usualPerSecond() const;
    // A job without an id.
    backlog_job createJob(std::size_t kind);
    std::uint64_t randomNumber() { return m_random(); }
    // Time to the end of the objective; timeLost is added to the chain of steps.
    duration objectiveOf(std::size_t kind, const backlog_job &job, duration timeLost) const;
    double worthOf(std::size_t kind, const backlog_job &job) const;

    static constexpr resources workerCapacity {64'000, 131'072, 0};

private:
    double uniform();
    // A log-normal number with that mean, at most max.
    double spreadAround(double mean, double spread, double max);
    double widthFactor(std::size_t kind) const;
    // What the modelled deployment's jobs a second are multiplied by.
    double scaleOf(std::size_t kind) const;
    void addStep(std::size_t kind, backlog_job &job);

    backlog_options m_options;
    std::mt19937_64 m_random;
};

// Work of all tasks.
double coreSeconds(const backlog_job &job);

} // namespace plantaingap::tests

#endif

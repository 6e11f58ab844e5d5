#ifndef PLANTAINGAP_TESTS_JOBS_GANG_BACKLOG_WORLD_H
#define PLANTAINGAP_TESTS_JOBS_GANG_BACKLOG_WORLD_H

#include "jobs/backlog_partition.h"

#include <array>
#include <memory>
#include <random>

// A cell of several partitions under a mix of gangs, wide steps and quick steps, then without
// traffic; and the rule that no accepted job may be left without a run while most of the cell is
// free.
namespace plantaingap::tests {

struct backlog_options
{
    // Traffic as a multiple of the usual, which needs 82% of all cores.
    double load = 1;
    bool membersFail = false;
    bool workersLeave = false;
    std::uint32_t partitions = 3;
    int workersPerPartition = 64;
    std::uint64_t seed = 1;
};

inline constexpr std::size_t backlogKinds = 3;

struct backlog_outcomes
{
    std::uint64_t sent = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refusedForGood = 0;
    std::uint64_t onTime = 0;
    // Completed within three objectives, and later or never.
    std::uint64_t late = 0;
    std::uint64_t worthless = 0;
    double worthOwed = 0;
    double worthEarned = 0;
};

struct backlog_figures
{
    std::array<backlog_outcomes, backlogKinds> kinds;
    // Longest time for which a gang whose turn had come had no run.
    duration longestGangWait {0};
    // From the end of traffic to the end of the last job.
    duration drainTime {0};
    // Totals of all partitions.
    backlog_counts counts;
};

class gang_backlog_world
{
public:
    explicit gang_backlog_world(const backlog_options &options);

    // Plays the traffic, and then goes on until all accepted jobs have ended, or the bound.
    void run();
    static const char *nameOfKind(std::size_t kind);
    backlog_figures figures() const;
    std::vector<std::string> startedTwice() const;
    // Use of each partition and what waits there, for experiments.
    std::string loadText() const;

    // Jobs left without a run against the rule, with what the scheduler says of some of them.
    std::size_t lost = 0;
    std::vector<std::string> lostExamples;
    // Accepted jobs that have not ended by the bound.
    std::vector<std::string> unfinished;
    // If set, called each second.
    std::function<void()> observer;

private:
    struct client_job
    {
        backlog_job job;
        std::size_t kind = 0;
        backlog_partition *partition = nullptr;
        duration firstSent {};
        duration nextSend {};
        int sends = 0;
        duration objective {};
        double worth = 0;
        // Since when it has been without a run against the rule.
        std::optional<duration> idleSince;
        // Since when a gang of it has been ready without a run.
        std::optional<duration> gangReadySince;
        bool lost = false;
    };

    duration elapsed() const { return m_partitions.front()->elapsed; }
    void tick();
    void createJobs();
    client_job createJob(std::size_t kind);
    std::vector<jobs::step_definition> createSteps(std::size_t kind, backlog_job &job);
    void chooseId(client_job &created);
    double uniform();
    // A log-normal number with that mean, at most max.
    double spreadAround(double mean, double spread, double max);
    void sendJobs();
    // Returns false while the client goes on trying.
    bool send(client_job &client);
    void crashWorkers();
    void recordEnds();
    void recordEnd(const client_job &client, jobs::job_state state);
    void observeGangs();
    void checkRule();
    bool mustRun(const client_job &client, const std::vector<resources> &free) const;

    backlog_options m_options;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<backlog_partition>> m_partitions;
    std::vector<client_job> m_unsent;
    std::vector<client_job> m_open;
    backlog_figures m_figures;
    std::uint64_t m_ticks = 0;
    std::size_t m_nextCrash = 0;
};

} // namespace plantaingap::tests

#endif

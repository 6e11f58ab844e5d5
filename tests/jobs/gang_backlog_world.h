#ifndef PLANTAINGAP_TESTS_JOBS_GANG_BACKLOG_WORLD_H
#define PLANTAINGAP_TESTS_JOBS_GANG_BACKLOG_WORLD_H

#include "jobs/backlog_traffic.h"

#include <array>
#include <memory>

// A cell of several partitions under a mix of gangs, wide steps and quick steps, then without
// traffic; and the rule that no accepted job may be left without a run while most of the cell is
// free.
namespace plantaingap::tests {

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

    // Share of the jobs whose results had some value.
    double servedShare() const
    {
        return sent == 0 ? 0 : static_cast<double>(onTime + late) / static_cast<double>(sent);
    }
    backlog_outcomes &operator+=(const backlog_outcomes &other);
};

// The jobs of a kind by their work: the largest tenth, the fifth below it, and the rest.
inline constexpr std::size_t backlogBands = 3;

struct backlog_figures
{
    std::array<backlog_outcomes, backlogKinds> kinds;
    std::array<std::array<backlog_outcomes, backlogBands>, backlogKinds> bands;
    // By workspace, without what the first one sends beyond its usual.
    std::map<std::string, backlog_outcomes> workspaces;
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

    // Plays the traffic, and then goes on until all accepted jobs have ended, but no longer than
    // finishTime and the time in which half of all cores do all work that was sent.
    void run();
    backlog_figures figures() const;
    std::vector<std::string> startedTwice() const;
    // Use of each partition and what waits there, for experiments.
    std::string loadText() const;

    // Jobs left without a run against the rule, with what the scheduler says of some of them.
    std::size_t lost = 0;
    // Those of them for which the workers that they are allowed in their own partition have
    // capacity.
    std::size_t lostBesideAllowed = 0;
    // Those for which the workers that they would be allowed in all partitions have capacity twice
    // over.
    std::size_t lostBesideAllowedAnywhere = 0;
    // Those whose partition has over half of its cores in use.
    std::size_t lostInBusyPartition = 0;
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
        // Sent beyond the usual of its workspace.
        bool excess = false;
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

    duration drainBound() const;
    duration elapsed() const { return m_partitions.front()->elapsed; }
    void tick();
    void createJobs();
    std::vector<jobs::workspace_definition> workspaces() const;
    client_job createJob(std::size_t kind, backlog_traffic &traffic);
    void createExcess();
    void chooseId(client_job &created, backlog_traffic &traffic);
    void sendJobs();
    // Returns false while the client goes on trying.
    bool send(client_job &client);
    void crashWorkers();
    void recordEnds();
    void recordEnd(const client_job &client, jobs::job_state state);
    void recordRefused(const client_job &client);
    void recordOutcome(const client_job &client, std::uint64_t backlog_outcomes::*outcome,
                       double worthEarned);
    void observeGangs();
    void checkRule();
    // A step whose turn has come and for which there is capacity twice over, or null.
    static const jobs::step_run *stepThatMustRun(const client_job &client,
                                                 const std::vector<resources> &free);
    void recordLost(client_job &client, const jobs::step_run &step);

    backlog_options m_options;
    backlog_traffic m_traffic;
    // Draws what the first workspace sends beyond its usual, so that all else stays the same.
    backlog_traffic m_excess;
    std::vector<std::unique_ptr<backlog_partition>> m_partitions;
    std::vector<client_job> m_unsent;
    std::vector<client_job> m_open;
    backlog_figures m_figures;
    struct sized_outcome
    {
        double coreSeconds = 0;
        std::uint64_t backlog_outcomes::*outcome = nullptr;
        double worthOwed = 0;
        double worthEarned = 0;
    };
    static std::array<backlog_outcomes, backlogBands>
    splitBySize(std::vector<sized_outcome> outcomes);
    // Each job of a kind whose outcome is known.
    std::array<std::vector<sized_outcome>, backlogKinds> m_outcomes;
    // Work of all jobs, twice where a run fails.
    double m_coreSecondsSent = 0;
    std::uint64_t m_ticks = 0;
    std::size_t m_nextCrash = 0;
};

} // namespace plantaingap::tests

#endif

#ifndef PLANTAINGAP_TESTS_JOBS_BACKLOG_PARTITION_H
#define PLANTAINGAP_TESTS_JOBS_BACKLOG_PARTITION_H

#include "jobs/scheduler_world.h"

#include <cstdint>
#include <memory>
#include <queue>
#include <unordered_map>
#include <unordered_set>

// One partition of a cell: a scheduler with its workers, the advisor's queues of its instances and
// a store that takes one write at a time.
namespace plantaingap::tests {

// A uniform number in [0, 1) that depends on the text and the seed only.
double uniformHash(const std::string &text, std::uint64_t seed);

// A queue and the share of the workers that its advisor allows each step.
struct backlog_queue
{
    jobs::queue_definition definition;
    double allowedShare = 1;
};

// A job with what its submitter does not declare.
struct backlog_job
{
    jobs::job_definition definition;
    // Work of one task of each step.
    std::vector<duration> work;
    // Share of the tasks whose first run fails; for a gang, of the first runs of gangs.
    std::vector<double> failureShare;
};

struct backlog_counts
{
    std::uint64_t starts = 0;
    std::uint64_t startsRejected = 0;
    // Starts that brought a worker over its capacity.
    std::uint64_t startsOverCapacity = 0;
    std::uint64_t runsFailed = 0;
    std::uint64_t gangsBroken = 0;
    std::uint64_t adviceCalls = 0;
    std::uint64_t ticketsGranted = 0;
    std::uint64_t ticketsUsed = 0;
    // Real time of each placement pass.
    std::vector<std::chrono::nanoseconds> planTimes;
};

class backlog_partition : public scheduler_world
{
public:
    backlog_partition(int workers, resources capacity, const std::vector<backlog_queue> &queues,
                      std::uint32_t partitions, std::uint64_t seed);

    void setWorkspaces(std::vector<jobs::workspace_definition> workspaces);
    jobs::submit_result submit(const backlog_job &job);
    // Advances by one tick.
    void tick();
    // That share of the workers crashes, and comes back under other names.
    void crashWorkers(double share, milliseconds downTime);

    // Whether the allowed workers hold each gang of the job twice when they are empty.
    bool holdsGangsTwice(const jobs::job_definition &job) const;
    // How much longer the chain of steps takes by runs that fail.
    duration timeLostByFailures(const backlog_job &job) const;
    // Workers that are up, with what is free there.
    std::vector<resources> freeCapacity() const;
    // Tasks of the step that fit now on workers that it is allowed.
    std::uint32_t freeAllowedSlots(const jobs::step_run &step) const;
    // Capacity of the workers that are up.
    resources upCapacity() const;
    resources activeDemand() const;
    // Adds the jobs with runs at work.
    void addJobsAtWork(std::unordered_set<std::string> &found) const;

    backlog_counts counts;

    static constexpr milliseconds tickLength {25};

private:
    struct advisor_call
    {
        jobs::advice_request request;
        duration answerAt {};
    };
    struct run_state
    {
        std::uint32_t attempt = 0;
        std::string worker;
        // None while other members of the gang are missing.
        std::optional<duration> startedAt;
        duration length {0};
    };
    struct gang_run
    {
        // Worker and task of each member that has started.
        std::vector<std::pair<std::string, std::string>> members;
    };
    struct due_end
    {
        duration at {};
        std::string task;
        std::uint32_t attempt = 0;
        jobs::run_outcome outcome = jobs::run_outcome::Done;
        bool operator>(const due_end &other) const { return at > other.at; }
    };

    static jobs::scheduler_options optionsOf(std::uint32_t partitions);
    std::uint32_t progressOf(const std::string &task, const fake_run &run) const override;
    const jobs::step_definition &definitionOf(const std::string &task) const;
    bool allowed(const std::string &worker, const std::string &step,
                 const std::string &queue) const;
    resources freeOn(const fake_worker &worker) const;
    void renewDueLeases();
    void requestAdvice(const std::vector<jobs::advice_request> &requests);
    void deliverAdvice();
    void storeBatch();
    void plan();
    void start(const jobs::start_order &order);
    bool ticketValid(const jobs::start_order &order);
    void startWork(const jobs::start_order &order);
    void startGangWork(const std::string &step, std::uint32_t attempt, const backlog_job &job);
    void stop(const jobs::stop_order &order);
    void endDueWork();
    void endGang(const std::string &step, std::uint32_t attempt, jobs::run_outcome outcome);
    // Ends the other members of a gang one of whose runs has ended.
    void breakGang(const std::string &task, std::uint32_t attempt);
    // Whether the first run of a task or gang fails, and after which share of its work.
    std::optional<double> failureOfFirstRun(const std::string &name, double share) const;
    // The share of its work that a run does, less than 1 if it fails.
    double workUntilEnd(const std::string &name, double failureShare);

    std::uint64_t m_seed;
    std::vector<backlog_queue> m_queues;
    std::unordered_map<std::string, backlog_job> m_jobs;
    std::unordered_map<std::string, run_state> m_runs;
    std::map<std::pair<std::string, std::uint32_t>, gang_run> m_gangs;
    std::priority_queue<due_end, std::vector<due_end>, std::greater<>> m_ends;
    std::unordered_set<std::string> m_failedOnce;
    std::vector<advisor_call> m_calls;
    std::map<std::string, duration> m_instanceIdleAt;
    std::unordered_set<std::string> m_usedTickets;
    std::uint64_t m_lastTicket = 0;
    std::vector<jobs::job_change> m_writing;
    std::uint64_t m_ticks = 0;
};

} // namespace plantaingap::tests

#endif

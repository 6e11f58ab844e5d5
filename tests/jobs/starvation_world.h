#ifndef PLANTAINGAP_TESTS_JOBS_STARVATION_WORLD_H
#define PLANTAINGAP_TESTS_JOBS_STARVATION_WORLD_H

#include "jobs/scheduler_world.h"

#include <deque>
#include <random>

// A fleet with an advisor that takes time, tasks that end after their work, and a check that no
// step is left without a run while there is capacity for it.
namespace plantaingap::tests {

// Behaviour of the placement advisor.
struct advisor_profile
{
    const char *name;
    bool used = true;
    // Share of the workers that each step may use; none: the share of its queue.
    std::optional<double> allowedShare = std::nullopt;
    milliseconds validity {1500};
    // Calls take this many times their declared time.
    int slowdown = 1;
    // The first of so many calls for a step fails, and so on; 0 for none.
    std::uint32_t failEvery = 0;
};

class starvation_world : public scheduler_world
{
public:
    starvation_world(const advisor_profile &advisor, int workers, std::uint64_t seed);

    // Submits a job, again after each refusal, until it is accepted. Its id is chosen such that the
    // allowed workers can hold each of its steps twice when they are empty.
    std::string submitUntilAccepted(jobs::job_definition job);
    // Advances by one tick: ends runs whose work is done, delivers advice, renews leases, plans and
    // checks each step.
    void tick();
    void run(milliseconds span);
    // Runs until all jobs without long-running steps are completed, but no longer than the bound
    // that follows from their work.
    void drain();

    // Each run of the tasks with that prefix ends as failed, until there were so many.
    void failRuns(const std::string &prefix, int count) { m_failuresLeft[prefix] = count; }
    // The worker that next starts a task with that prefix crashes, so many times.
    void crashUnder(const std::string &prefix, int count) { m_crashesLeft[prefix] = count; }
    // All runs fail on workers with that label, or take so many times as long, until then.
    void failWorkers(const std::string &label, duration until);
    void slowWorkers(const std::string &label, int factor, duration until);

    std::string newId();
    int randomNumber(int below) { return static_cast<int>(m_random() % below); }
    // Whether on average so many events a second would have one in this tick.
    bool occursWithRate(double perSecond);
    std::size_t workerCount() const { return fleet.size(); }

    // Violations, at most a few.
    std::vector<std::string> starved;
    std::vector<std::string> notCompleted;
    // Jobs that were never accepted.
    std::size_t refused() const { return m_submissions.size(); }

    static constexpr milliseconds tickLength {50};
    // The label of a quarter of the workers.
    static constexpr const char *rareLabel = "rare";

private:
    struct advisor_call
    {
        jobs::advice_request request;
        duration answerAt {};
    };
    struct run_work
    {
        duration startedAt {};
        duration length {};
    };
    using run_key = std::pair<std::string, std::uint32_t>;

    void configureQueues(const advisor_profile &advisor);
    bool allowed(const std::string &worker, const std::string &step,
                 const std::string &queue) const;
    void requestAdvice(const std::vector<jobs::advice_request> &requests);
    void deliverAdvice();
    void planAndExecute();
    void start(const jobs::start_order &order);
    void crashIfDue(const jobs::start_order &order);
    void endFinishedRuns();
    void endRun(const std::string &worker, const std::string &task);
    std::uint32_t progressOf(const std::string &task, const fake_run &run) const override;
    const jobs::step_definition &definitionOf(const std::string &task) const;
    // Whether the allowed workers hold each step twice when they are empty.
    bool fitsWhenEmpty(const jobs::job_definition &job) const;
    // Tasks of the step that fit there if so much is free.
    std::uint32_t slotsOn(const fake_worker &worker, const resources &free,
                          const jobs::job_definition &job, const std::string &step) const;
    // Tasks of the step that fit now on workers that it may use.
    std::uint32_t freeSlots(const jobs::step_run &step) const;
    bool canProceed(const std::string &id) const;
    void checkSteps();
    void checkStep(const jobs::step_run &step, bool calm);
    milliseconds drainBound() const;
    bool hasLongRunning(const std::string &id) const;

    advisor_profile m_advisor;
    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    std::map<std::string, jobs::job_definition> m_jobs;
    std::vector<jobs::job_definition> m_submissions;
    std::deque<advisor_call> m_calls;
    std::map<std::string, duration> m_instanceIdleAt;
    std::map<run_key, run_work> m_work;
    std::map<std::string, int> m_failuresLeft;
    std::map<std::string, int> m_crashesLeft;
    std::map<std::string, duration> m_failingUntil;
    struct slowness
    {
        int factor = 1;
        duration until {};
    };
    std::map<std::string, slowness> m_slow;
    // Waiting counts from then on: some time after the last impairment.
    duration m_calmFrom {0};
    std::map<std::string, std::uint32_t> m_callsOfStep;
    std::map<std::string, resources> m_used;
    std::map<std::string, std::size_t> m_runsOfStep;
    // Since when each step has waited with capacity for it.
    std::map<std::string, duration> m_waitingSince;
    std::uint64_t m_nextId = 1;
};

} // namespace plantaingap::tests

#endif

#ifndef PLANTAINGAP_JOBS_WAITING_WORK_H
#define PLANTAINGAP_JOBS_WAITING_WORK_H

#include "jobs/job_progress.h"
#include "jobs/worker_pool.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

// The work that waits in front of a new job, in sums that answer for each new job at the same price
// however many jobs wait. They are made anew at a bounded rate, from one walk over all jobs and
// workers; jobs that are accepted in between are added.
namespace plantaingap::jobs {

using job_map = std::map<std::string, std::unique_ptr<job_run>, std::less<>>;

// What an estimate needs to know about a queue.
struct queue_outlook
{
    std::string service;
    bool topPriority = false;
    // Share of the workers that the advisor allows for a step; 1 without an advisor.
    double allowedShare = 1;
    double runsPerGang = 1;
};

using queue_outlooks = std::map<std::string, queue_outlook, std::less<>>;

// Durations in milliseconds, and work in milliseconds of a whole worker.
using fractional_ms = double;

struct waiting_work
{
    // Time until all of the gangs have run, one beside the other, and their sum over the workers.
    fractional_ms gangTime = 0;
    fractional_ms gangWork = 0;
    std::size_t gangs = 0;
    fractional_ms taskWork = 0;

    waiting_work &operator+=(const waiting_work &other);
};

struct work_ahead
{
    // Of gangs, and of single tasks that can still be on time.
    waiting_work onTime;
    // Of late single tasks.
    waiting_work late;
    // Part of the workers on which single tasks run.
    double runningTasks = 0;
};

// What decides the order of the steps of a job among others.
struct job_rank
{
    bool topPriority = false;
    time_point latestStart {};
    // One of its steps is a gang.
    bool gang = false;
};

// Sums of work by a key of its steps.
template<typename Key>
class work_by_key
{
public:
    void add(Key key, const waiting_work &work) { m_sums.emplace_back(key, work); }
    // Must be called after the last add().
    void sumUp();
    // Work of all steps whose key is at most that.
    waiting_work upTo(Key key) const;

private:
    // By key, with the work up to and including it.
    std::vector<std::pair<Key, waiting_work>> m_sums;
};

// What admission has examined since the start of the term. The counts do not depend on the speed of
// the processor.
struct admission_counts
{
    std::uint64_t submissions = 0;
    // Walks over all jobs and workers.
    std::uint64_t rebuilds = 0;
    std::uint64_t stepsExamined = 0;
    std::uint64_t workersExamined = 0;
};

class waiting_work_index
{
public:
    // The sums are too old, or too many jobs have been added one by one.
    bool outdated(time_point now) const;
    // What they were made from has changed at once, as with a new configuration.
    void invalidate() { m_valid = false; }
    void rebuild(const job_map &jobs, const fleet &workers, queue_outlooks queues, time_point now,
                 admission_counts &counts);
    // Adds a job that was accepted after the last rebuild. Its gangs that have room now occupy so
    // many whole workers.
    void add(const job_run &job, double widthWithRoom, time_point now);

    const worker_pool &pool(const std::string &service) const;
    // A default for an unknown queue.
    const queue_outlook &outlook(const std::string &queue) const;
    // Whole workers that added gangs are about to occupy.
    double addedWidth(const std::string &service) const;
    work_ahead ahead(const job_rank &rank, const std::string &service,
                     admission_counts &counts) const;

private:
    struct waiting_step
    {
        bool topPriority = false;
        bool gang = false;
        bool late = false;
        time_point latestStart {};
        waiting_work work;
    };
    // Steps of one priority, top or not.
    struct priority_sums
    {
        work_by_key<time_point> gangsOnTime;
        work_by_key<time_point> tasksOnTime;
        waiting_work lateTasks;
        // All gangs, late ones too.
        waiting_work gangs;
    };
    struct service_sums
    {
        priority_sums top;
        priority_sums other;
        double runningTasks = 0;
        // Steps that were added after the sums were made.
        std::vector<waiting_step> added;
        double addedWidth = 0;
    };

    template<typename Function>
    void forEachStep(const job_run &job, time_point now, Function function);
    static bool goesBefore(const waiting_step &step, const job_rank &rank);
    static void addTo(service_sums &sums, const waiting_step &step);

    bool m_valid = false;
    time_point m_builtAt {};
    std::size_t m_added = 0;
    queue_outlooks m_queues;
    worker_pools m_pools;
    std::map<std::string, service_sums, std::less<>> m_services;
};

} // namespace plantaingap::jobs

#endif

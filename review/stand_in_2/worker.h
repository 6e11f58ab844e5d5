#ifndef REVIEW_STAND_IN_2_WORKER_H
#define REVIEW_STAND_IN_2_WORKER_H

#include "http.h"
#include "record.h"
#include "store.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

// A worker of the platform: it starts, stops and reports runs under leases.
namespace review {

// What a run does: how long it works, and how it ends; a run without an end lasts.
struct behaviour
{
    std::optional<std::chrono::milliseconds> endsAfter;
    std::string how = "done";
};
// Called for each start with the task's name and attempt.
using plan_of_run = std::function<behaviour(const std::string &task, unsigned attempt)>;

struct worker_options
{
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    long cpu = 64'000;
    long memory = 131'072;
};

class worker
{
public:
    worker(asio::io_context &context, store &rows, record &log, worker_options options,
           plan_of_run plan);

    void start();
    // Dies like a killed process; what ran there is gone. Comes back after `down` under a new id at
    // the same address.
    void crash(std::chrono::milliseconds down);

    const std::string &id() const { return m_options.id; }
    bool up() const { return m_up; }
    bool runs(const std::string &task) const { return m_runs.contains(task); }
    std::size_t running() const { return m_runs.size(); }
    std::vector<std::string> tasks() const;

private:
    struct run
    {
        unsigned attempt = 0;
        steady_clock::time_point startedAt;
        behaviour does;
        std::string saved;
    };
    struct end
    {
        std::uint64_t number = 0;
        std::string task;
        unsigned attempt = 0;
        std::string how;
        std::string saved;
    };

    asio::awaitable<response> handle(request asked);
    asio::awaitable<response> hold(std::string body);
    response startRun(const std::string &body);
    response stopRun(const std::string &body);
    response conflict(const std::string &reason) const;
    bool fenced(const boost::json::object &order);
    void extend(const boost::json::object &order);
    void endRun(const std::string &task, const std::string &how);
    std::string report() const;
    std::string head() const;
    long clock() const;
    int percentOf(const run &one) const;
    void publish();
    asio::awaitable<void> live(unsigned life);
    asio::awaitable<void> beat(unsigned life);
    asio::awaitable<void> comeBack(std::chrono::milliseconds down);

    asio::io_context &m_context;
    store &m_store;
    record &m_log;
    worker_options m_options;
    plan_of_run m_plan;
    server m_server;
    std::uint16_t m_port = 0;
    bool m_up = false;
    unsigned m_life = 0;
    unsigned m_sequence = 0;
    long m_born = 0;
    steady_clock::time_point m_bootAt;
    std::uint64_t m_fence = 0;
    long m_due = 0;
    std::map<std::string, run> m_runs;
    // The highest attempt of each task that was stopped or has ended here.
    std::map<std::string, unsigned> m_past;
    std::vector<end> m_ends;
    std::uint64_t m_lastEnd = 0;
};

} // namespace review

#endif

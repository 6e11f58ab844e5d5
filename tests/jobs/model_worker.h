#ifndef PLANTAINGAP_TESTS_JOBS_MODEL_WORKER_H
#define PLANTAINGAP_TESTS_JOBS_MODEL_WORKER_H

#include "jobs/job_scheduler.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// A worker as the protocol page describes it: a fence, one lease for all runs, rejected attempts,
// stops that take time, and lists of active and ended runs.
namespace plantaingap::tests {

using std::chrono::milliseconds;

// How a run that is being stopped is reported.
enum class stopping_report : std::uint8_t { Active, Unlisted };

struct model_run
{
    std::uint32_t attempt = 0;
    resources demand;
    // When it ends by itself, and how.
    time_point endsAt {};
    jobs::run_outcome outcome = jobs::run_outcome::Done;
    // Set while it is being stopped.
    std::optional<time_point> stoppedAt;
};

struct model_order_reply
{
    jobs::start_result result = jobs::start_result::Unknown;
    std::int64_t clockMs = 0;
};

class model_worker
{
public:
    static constexpr milliseconds maxLease {10'000};

    model_worker(std::string id, std::string address, resources capacity, std::int64_t clockMs,
                 time_point now);

    // Starts anew, with nothing of before and with a clock that has no relation to the former one.
    void restart(std::int64_t clockMs, time_point now);
    // Applies what is due: ends, stops and the end of the lease.
    void advance(time_point now);

    model_order_reply start(const jobs::start_order &order, const model_run &run, time_point now);
    // Returns false if the worker has seen a higher term.
    bool stop(const jobs::stop_order &order, time_point now, duration stopTime);
    jobs::worker_report renewLease(const jobs::lease_renewal &order, time_point now,
                                   stopping_report stopping);
    void end(const std::string &task, jobs::run_outcome outcome);

    resources used() const;
    std::int64_t clock(time_point now) const;
    bool leaseEnded(time_point now) const;
    bool rejects(const std::string &task, std::uint32_t attempt) const;
    // A run of the task has ended as done here, and the lease has held from then until now.
    bool doneUnderLease(const std::string &task, time_point now) const;

    jobs::worker_entry entry;
    std::map<std::string, model_run> active;
    bool up = true;
    // While it is down, its connections break at once; otherwise calls get no reply.
    bool breaksConnections = true;
    // While set, nothing is executed; the clock goes on.
    bool frozen = false;
    std::int64_t clockRatePerMille = 1000;

private:
    void extendLease(std::int64_t leaseEndMs, time_point now);
    void reject(const std::string &task, std::uint32_t attempt);

    std::uint64_t m_term = 0;
    time_point m_startedAt {};
    std::int64_t m_firstClockMs = 0;
    std::int64_t m_leaseEndMs = 0;
    std::vector<jobs::ended_run> m_ended;
    std::uint64_t m_lastNumber = 0;
    std::map<std::string, std::uint32_t> m_rejected;
    std::set<std::string> m_done;
};

} // namespace plantaingap::tests

#endif

#ifndef PLANTAINGAP_TESTS_JOBS_SCHEDULER_WORLD_H
#define PLANTAINGAP_TESTS_JOBS_SCHEDULER_WORLD_H

#include "jobs/job_scheduler.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

// A scheduler with workers, a store and an advisor that do as they are told, on a clock that the
// test moves. The workers check what must always hold of the orders that they get.
namespace plantaingap::tests {

using std::chrono::milliseconds;

inline wall_time wallStart()
{
    return wall_time(std::chrono::hours(24 * 365 * 50));
}

struct fake_run
{
    std::uint32_t attempt = 0;
    std::string checkpoint;
};

struct fake_worker
{
    jobs::worker_entry entry;
    std::int64_t incarnationMs = 1;
    bool reachable = true;
    bool listed = true;
    std::int64_t leaseEndMs = 0;
    std::uint64_t term = 0;
    std::map<std::string, fake_run> active;
    std::vector<jobs::ended_run> ended;
    std::uint64_t lastNumber = 0;
};

class scheduler_world
{
public:
    explicit scheduler_world(int workers = 4, resources each = {16'000, 32'768, 0},
                             std::optional<jobs::advisor_cost> advisor = std::nullopt)
        : scheduler(jobs::scheduler_options {})
    {
        jobs::cell_configuration configuration;
        configuration.version = 1;
        const auto queue = [&](std::string name, std::uint32_t priority) {
            return jobs::queue_definition {name,     "host", "/" + name + "/",  "service", priority,
                                           attempts, 2.0,    milliseconds(600), advisor};
        };
        configuration.queues = {queue("quick", 0), queue("large", 1), queue("middle", 2)};
        scheduler.configure(configuration);
        scheduler.lead(term, now());
        for (int i = 0; i < workers; ++i) {
            fake_worker made;
            made.entry = {"w" + std::to_string(i),
                          "10.0.0.1:" + std::to_string(7000 + i),
                          "dc",
                          "service",
                          false,
                          each,
                          {"a", "r1-" + std::to_string(i / 2)},
                          1};
            fleet[made.entry.id] = made;
        }
    }

    time_point now() const { return time_point(std::chrono::hours(1)) + elapsed; }
    wall_time wall() const
    {
        return wallStart() + std::chrono::duration_cast<milliseconds>(elapsed);
    }
    std::int64_t workerClock() const
    {
        return 500'000 + std::chrono::duration_cast<milliseconds>(elapsed).count();
    }

    void list()
    {
        std::vector<jobs::worker_entry> entries;
        for (const auto &[id, each] : fleet) {
            if (each.listed)
                entries.push_back(each.entry);
        }
        scheduler.listWorkers(entries);
    }

    void renewAllLeases()
    {
        std::vector<std::string> ids;
        for (const auto &[id, at] : scheduler.workers().all())
            ids.push_back(id);
        for (const auto &id : ids)
            renewLease(id);
    }

    void renewLease(const std::string &id)
    {
        auto *at = scheduler.workers().find(id);
        if (!at)
            return;
        const auto order = scheduler.renewLease(*at, now());
        auto &to = fleet[id];
        if (!to.reachable) {
            scheduler.leaseRenewalFailed(id, now());
            return;
        }
        expire(to);
        if (order.leaseEndMs)
            to.leaseEndMs = std::max(to.leaseEndMs, *order.leaseEndMs);
        to.term = std::max(to.term, order.term);
        std::erase_if(to.ended, [&](const auto &end) { return end.number <= order.lastStoredEnd; });
        jobs::worker_report report;
        report.clockMs = workerClock();
        report.incarnationMs = to.incarnationMs;
        for (const auto &[task, run] : to.active)
            report.active.push_back({task, run.attempt, run.checkpoint, percent, 0});
        report.ended = to.ended;
        scheduler.onReport(id, report, now(), now());
    }

    void expire(fake_worker &at)
    {
        if (workerClock() > at.leaseEndMs)
            endAll(at, jobs::run_outcome::LeaseExpired);
    }

    void endAll(fake_worker &at, jobs::run_outcome how)
    {
        while (!at.active.empty())
            end(at.entry.id, at.active.begin()->first, how);
    }

    void end(const std::string &id, std::string task, jobs::run_outcome how,
             const std::string &checkpoint = {})
    {
        auto &at = fleet[id];
        const auto run = at.active.at(task);
        at.active.erase(task);
        at.ended.push_back({++at.lastNumber, task, run.attempt, how, checkpoint});
    }

    // Ends all runs whose name begins so, wherever they are.
    int endRuns(const std::string &prefix, jobs::run_outcome how)
    {
        int count = 0;
        for (auto &[id, at] : fleet) {
            std::vector<std::string> found;
            for (const auto &[task, run] : at.active) {
                if (task.starts_with(prefix))
                    found.push_back(task);
            }
            for (const auto &task : found) {
                end(id, task, how);
                ++count;
            }
        }
        return count;
    }

    // Plans, stores and carries out orders until nothing new comes.
    void settle()
    {
        for (int round = 0; round < 20; ++round) {
            for (const auto &name : adviceInstances)
                scheduler.advisorCallRouter().heartbeatReceived(name, now());
            auto orders = scheduler.plan(now(), wall());
            advise(orders.advice);
            for (const auto &stop : orders.stops)
                execute(stop);
            const auto batch =
                store ? scheduler.takeChanges(100) : std::vector<jobs::job_change> {};
            if (batch.empty() && orders.advice.empty() && orders.stops.empty())
                return;
            for (const auto &change : batch)
                record(change);
            for (const auto &start : scheduler.onBatchStored(batch, now()))
                execute(start);
        }
    }

    void record(const jobs::job_change &change)
    {
        if (change.definition)
            definitions[change.id] = *change.definition;
        if (change.progress)
            progress[change.id] = *change.progress;
        if (change.finished) {
            definitions.erase(change.id);
            progress.erase(change.id);
            finished[change.id] = *change.finished;
        }
    }

    void advise(const std::vector<jobs::advice_request> &requests)
    {
        for (const auto &request : requests) {
            workersNamed += static_cast<int>(request.workers.size());
            const std::set<std::string> named(request.workers.begin(), request.workers.end());
            duplicateNames += static_cast<int>(request.workers.size() - named.size());
            std::map<std::string, std::string> tickets;
            for (const auto &id : request.workers) {
                if (!notAllowed.contains(id))
                    tickets[id] = "ticket";
            }
            scheduler.onAdvice(request, tickets, milliseconds(1500), now());
        }
    }

    void execute(const jobs::start_order &order)
    {
        ++starts;
        auto &at = fleet[order.worker.id];
        if (!at.reachable) {
            scheduler.onStartReply(order, jobs::start_result::Unknown, std::nullopt, now());
            return;
        }
        at.term = std::max(at.term, order.term);
        at.leaseEndMs = std::max(at.leaseEndMs, order.leaseEndMs);
        for (const auto &[id, other] : fleet) {
            if (other.active.contains(order.task))
                startedTwice.push_back(order.task);
        }
        at.active[order.task] = {order.attempt, order.checkpoint};
        checkpoints[order.task] = order.checkpoint;
        scheduler.onStartReply(order, jobs::start_result::Accepted, workerClock(), now());
    }

    void execute(const jobs::stop_order &order)
    {
        ++stops;
        auto &at = fleet[order.worker.id];
        if (!at.reachable)
            return;
        const auto found = at.active.find(order.task);
        if (found != at.active.end() && found->second.attempt <= order.attempt)
            end(order.worker.id, order.task, jobs::run_outcome::Stopped, "saved");
        scheduler.onStopReply(order, true, now());
    }

    // Time passes; workers are looked at every 500 ms of it.
    void advance(milliseconds span)
    {
        const auto step = milliseconds(500);
        for (auto left = span; left.count() > 0; left -= step) {
            elapsed += std::min(left, step);
            renewAllLeases();
            settle();
        }
    }

    void begin()
    {
        list();
        renewAllLeases();
        renewAllLeases();
        settle();
    }

    jobs::submit_result submit(const std::string &id, const std::string &queue,
                               std::vector<jobs::step_definition> steps)
    {
        jobs::job_definition job;
        job.id = id;
        job.queue = queue;
        job.payload = "payload";
        job.steps = std::move(steps);
        return scheduler.submit(std::move(job), now(), wall());
    }

    static jobs::step_definition step(std::uint32_t tasks, std::int64_t milliCores,
                                      int estimateMs = 1000)
    {
        jobs::step_definition made;
        made.tasks = tasks;
        made.demand = {milliCores, 100, 0};
        made.estimate = milliseconds(estimateMs);
        return made;
    }

    std::size_t running(const std::string &prefix = {}) const
    {
        std::size_t count = 0;
        for (const auto &[id, at] : fleet) {
            for (const auto &[task, run] : at.active)
                count += task.starts_with(prefix) ? 1 : 0;
        }
        return count;
    }

    static constexpr std::uint32_t attempts = 2;
    std::uint64_t term = 1;
    duration elapsed {0};
    jobs::job_scheduler scheduler;
    std::map<std::string, fake_worker> fleet;
    // Instances that make calls for advice, besides the leader.
    std::vector<std::string> adviceInstances {"e1", "e2", "e3", "e4", "e5", "e6", "e7"};
    std::set<std::string> notAllowed;
    bool store = true;
    std::map<std::string, std::string> definitions;
    std::map<std::string, std::string> progress;
    std::map<std::string, jobs::job_state> finished;
    std::map<std::string, std::string> checkpoints;
    std::vector<std::string> startedTwice;
    // What all workers report of the progress of what runs there.
    std::uint32_t percent = 100;
    int starts = 0;
    int stops = 0;
    int workersNamed = 0;
    // Workers that calls for advice named a second time.
    int duplicateNames = 0;
};

} // namespace plantaingap::tests

#endif

#ifndef PLANTAINGAP_TESTS_JOBS_SCHEDULER_WORLD_H
#define PLANTAINGAP_TESTS_JOBS_SCHEDULER_WORLD_H

#include "jobs/job_scheduler.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

// A scheduler with fake workers, a fake store and a fake advisor, on a clock that the test
// advances. The fake workers record tasks that are started while they already run.
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
    // World time of the start.
    duration startedAt {0};
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
    // Set while a crashed worker is down.
    std::optional<duration> downUntil;
    // Another worker has started at its address.
    bool replaced = false;
};

class scheduler_world
{
public:
    explicit scheduler_world(int workers = 4, resources capacity = {16'000, 32'768, 0},
                             std::optional<jobs::advisor_cost> advisor = std::nullopt,
                             jobs::scheduler_options options = {})
        : scheduler(options)
    {
        jobs::cell_configuration configuration;
        configuration.version = 1;
        const auto queue = [&](std::string name, std::uint32_t priority) {
            return jobs::queue_definition {name,     "host", "/" + name + "/",  "service", priority,
                                           attempts, 2.0,    milliseconds(600), advisor};
        };
        configuration.queues = {queue("quick", 0), queue("large", 1), queue("middle", 2)};
        scheduler.configure(configuration);
        scheduler.startTerm(term, now());
        for (int i = 0; i < workers; ++i) {
            fake_worker created;
            created.entry = {"w" + std::to_string(i),
                             "10.0.0.1:" + std::to_string(7000 + i),
                             "dc",
                             "service",
                             false,
                             capacity,
                             {"a", "r1-" + std::to_string(i / 2)},
                             1};
            fleet[created.entry.id] = created;
        }
    }

    virtual ~scheduler_world() = default;

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
        for (const auto &[id, worker] : fleet) {
            if (worker.listed)
                entries.push_back(worker.entry);
        }
        scheduler.updateWorkerList(entries);
    }

    void renewAllLeases()
    {
        std::vector<std::string> ids;
        for (const auto &[id, worker] : scheduler.workers().all())
            ids.push_back(id);
        for (const auto &id : ids)
            renewLease(id);
    }

    void renewLease(const std::string &id)
    {
        auto *worker = scheduler.workers().find(id);
        if (!worker)
            return;
        // A leader writes its row several times a second.
        if (store)
            scheduler.commitSent(now());
        const auto order = scheduler.renewLease(*worker, now());
        auto &fake = fleet[id];
        if (!fake.reachable) {
            scheduler.leaseRenewalFailed(id,
                                         fake.downUntil ? jobs::renewal_failure::ConnectionBroken
                                                        : jobs::renewal_failure::NoReply,
                                         now());
            return;
        }
        if (fake.replaced) {
            jobs::worker_report other;
            other.otherIncarnation = true;
            scheduler.onReport(id, other, now(), now());
            return;
        }
        expire(fake);
        if (order.leaseEndMs)
            fake.leaseEndMs = std::max(fake.leaseEndMs, *order.leaseEndMs);
        fake.term = std::max(fake.term, order.term);
        std::erase_if(fake.ended,
                      [&](const auto &end) { return end.number <= order.lastStoredEnd; });
        jobs::worker_report report;
        report.clockMs = workerClock();
        report.incarnationMs = fake.incarnationMs;
        for (const auto &[task, run] : fake.active)
            report.active.push_back(
                {task, run.attempt, run.checkpoint, progressOf(task, run), measureOf(fake, task)});
        report.ended = fake.ended;
        scheduler.onReport(id, report, now(), now());
    }

    void expire(fake_worker &worker)
    {
        if (workerClock() > worker.leaseEndMs)
            endAll(worker, jobs::run_outcome::LeaseExpired);
    }

    // Ends all runs of a worker unreported; it starts again under the same id.
    void crash(const std::string &id)
    {
        auto &worker = fleet[id];
        worker.incarnationMs += 1000;
        if (listsRestarts)
            worker.entry.incarnationMs = worker.incarnationMs;
        worker.active.clear();
        worker.ended.clear();
        worker.lastNumber = 0;
        worker.leaseEndMs = 0;
        if (listsRestarts)
            list();
    }

    // Ends all runs of a worker, which is down for restartTime.
    void crashForAWhile(const std::string &id)
    {
        crash(id);
        ++crashes;
        fleet[id].reachable = false;
        fleet[id].downUntil = elapsed + restartTime;
    }

    // Brings back the workers whose restart time is over, under their id or under a new one.
    void restartWorkers()
    {
        std::vector<std::string> due;
        for (const auto &[id, worker] : fleet) {
            if (worker.downUntil && *worker.downUntil <= elapsed)
                due.push_back(id);
        }
        for (const auto &id : due) {
            auto &worker = fleet[id];
            worker.downUntil.reset();
            worker.reachable = true;
            if (!newIdAfterCrash)
                continue;
            worker.replaced = true;
            worker.listed = false;
            auto created = worker;
            created.replaced = false;
            created.listed = true;
            created.entry.id = id + "+";
            fleet[created.entry.id] = created;
        }
        if (!due.empty())
            list();
    }

    void endAll(fake_worker &worker, jobs::run_outcome outcome)
    {
        while (!worker.active.empty())
            end(worker.entry.id, worker.active.begin()->first, outcome);
    }

    void end(const std::string &id, std::string task, jobs::run_outcome outcome,
             const std::string &checkpoint = {})
    {
        auto &worker = fleet[id];
        const auto run = worker.active.at(task);
        worker.active.erase(task);
        worker.ended.push_back({++worker.lastNumber, task, run.attempt, outcome, checkpoint});
    }

    // Ends all runs whose task name starts with the prefix, on any worker.
    int endRuns(const std::string &prefix, jobs::run_outcome outcome)
    {
        int count = 0;
        for (auto &[id, worker] : fleet) {
            std::vector<std::string> tasks;
            for (const auto &[task, run] : worker.active) {
                if (task.starts_with(prefix))
                    tasks.push_back(task);
            }
            for (const auto &task : tasks) {
                end(id, task, outcome);
                ++count;
            }
        }
        return count;
    }

    // Progress in percent that a worker reports for a run.
    virtual std::uint32_t progressOf(const std::string & /*task*/, const fake_run &run) const
    {
        if (runTime.count() == 0)
            return percent;
        return static_cast<std::uint32_t>(
            std::min<std::int64_t>((elapsed - run.startedAt) * 100 / runTime, 100));
    }

    // Tail latency or cores in use that a worker reports for a run.
    virtual double measureOf(const fake_worker & /*worker*/, const std::string & /*task*/) const
    {
        return 0;
    }

    // Ends the runs that have worked for runTime.
    void endDueRuns()
    {
        for (auto &[id, worker] : fleet) {
            std::vector<std::string> due;
            for (const auto &[task, run] : worker.active) {
                if (elapsed - run.startedAt >= runTime)
                    due.push_back(task);
            }
            for (const auto &task : due)
                end(id, task, jobs::run_outcome::Done);
        }
    }

    // Plans, stores changes and executes orders until there are no new ones.
    void settle()
    {
        for (int round = 0; round < 20; ++round) {
            for (const auto &name : adviceInstances)
                scheduler.advisorCallRouter().heartbeatReceived(name, milliseconds(200), now());
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
        else if (change.finished || change.remainingRunsGone)
            progress.erase(change.id);
        if (change.finished) {
            definitions.erase(change.id);
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
        auto &worker = fleet[order.worker.id];
        if (!worker.reachable) {
            scheduler.onStartReply(order, jobs::start_result::Unknown, std::nullopt, now());
            return;
        }
        worker.term = std::max(worker.term, order.term);
        worker.leaseEndMs = std::max(worker.leaseEndMs, order.leaseEndMs);
        for (const auto &[id, other] : fleet) {
            if (other.active.contains(order.task))
                startedTwice.push_back(order.task);
        }
        ++startsOf[order.task];
        worker.active[order.task] = {order.attempt, order.checkpoint, elapsed};
        checkpoints[order.task] = order.checkpoint;
        if (isDeadly(order.task) || worker.entry.address == faultyMachine) {
            for (const auto &[task, run] : worker.active)
                ++crashesUnder[task];
            besideDeadly += worker.active.size() - 1;
            crashForAWhile(order.worker.id);
            renewLease(order.worker.id);
            scheduler.onStartReply(order, jobs::start_result::ConnectionBroken, std::nullopt,
                                   now());
            return;
        }
        scheduler.onStartReply(order, jobs::start_result::Accepted, workerClock(), now());
    }

    void execute(const jobs::stop_order &order)
    {
        ++stops;
        auto &worker = fleet[order.worker.id];
        if (!worker.reachable)
            return;
        const auto run = worker.active.find(order.task);
        if (run != worker.active.end() && run->second.attempt <= order.attempt)
            end(order.worker.id, order.task, jobs::run_outcome::Stopped, "saved");
        scheduler.onStopReply(order, true, now());
    }

    bool isDeadly(const std::string &task) const
    {
        return std::ranges::any_of(deadly,
                                   [&](const auto &name) { return task.starts_with(name); });
    }

    // Advances the clock in steps of at most advanceStep and renews all leases after each step.
    void advance(milliseconds span)
    {
        for (auto left = span; left.count() > 0; left -= advanceStep) {
            elapsed += std::min(left, advanceStep);
            restartWorkers();
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
        jobs::step_definition created;
        created.tasks = tasks;
        created.demand = {milliCores, 100, 0};
        created.estimate = milliseconds(estimateMs);
        return created;
    }

    std::size_t running(const std::string &prefix = {}) const
    {
        std::size_t count = 0;
        for (const auto &[id, worker] : fleet) {
            for (const auto &[task, run] : worker.active)
                count += task.starts_with(prefix) ? 1 : 0;
        }
        return count;
    }

    static constexpr std::uint32_t attempts = 2;
    std::uint64_t term = 1;
    duration elapsed {0};
    jobs::job_scheduler scheduler;
    std::map<std::string, fake_worker> fleet;
    // Instances that make advisor calls, besides the leader.
    std::vector<std::string> adviceInstances {"e1", "e2", "e3", "e4", "e5", "e6", "e7"};
    std::set<std::string> notAllowed;
    bool store = true;
    std::map<std::string, std::string> definitions;
    std::map<std::string, std::string> progress;
    std::map<std::string, jobs::job_state> finished;
    std::map<std::string, std::string> checkpoints;
    std::vector<std::string> startedTwice;
    milliseconds advanceStep {500};
    // Tasks whose names start so crash each worker that starts them.
    std::vector<std::string> deadly;
    // Address of a machine that crashes under whatever it starts.
    std::string faultyMachine;
    milliseconds restartTime {3500};
    // A worker that has started again is in the list at once; otherwise its former entry is.
    bool listsRestarts = true;
    bool newIdAfterCrash = true;
    int crashes = 0;
    std::map<std::string, int> startsOf;
    // Crashes of workers while each task was at work there, and runs lost beside a deadly one.
    std::map<std::string, int> crashesUnder;
    std::size_t besideDeadly = 0;
    // Progress that all workers report for their runs.
    std::uint32_t percent = 100;
    // If not zero, the duration of each run; it decides the progress that is reported instead.
    duration runTime {0};
    int starts = 0;
    int stops = 0;
    int workersNamed = 0;
    // Workers that an advisor call names more than once.
    int duplicateNames = 0;
};

} // namespace plantaingap::tests

#endif

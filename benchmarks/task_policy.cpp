// Drives the task scheduler with seeded arrivals in the users' shape: a fake clock and finishing
// times, no network and no model of a cluster. Prints waiting times, use, preemptions and the
// processor time of decisions, beside two baselines.
//     task-policy [scenario|all] [fault|all] [policy|all] [seed] [csv file]
#include "decision/task_scheduler.h"

#include "task_policy_baselines.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>

using namespace plantaingap;
using namespace plantaingap::decision;

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct worker_shape
{
    std::uint32_t count;
    resources capacity;
};

struct scenario
{
    std::string name;
    std::vector<worker_shape> workers;
    // Mean seconds of a task, and starts a second that are offered.
    double runSeconds;
    double startsPerSecond;
    std::uint32_t teams;
    std::uint32_t serviceTasks;
    seconds length;
};

// Offered starts are a little more than the workers can carry, so that they are saturated, or nine
// tenths of it.
const std::vector<scenario> scenarios = {
    {"caroni", {{48, {64'000, 131'072, 0}}}, 60, 22, 20, 240, seconds(1800)},
    {"caroni-90", {{48, {64'000, 131'072, 0}}}, 60, 10, 20, 240, seconds(1800)},
    {"rielsur", {{48, {16'000, 32'768, 0}}}, 60, 5.5, 20, 60, seconds(1800)},
    {"rielsur-90", {{48, {16'000, 32'768, 0}}}, 60, 2.3, 20, 60, seconds(1800)},
    {"target",
     {{2'012, {64'000, 131'072, 0}}, {688, {64'000, 262'144, 8}}},
     200,
     230,
     290,
     9'600,
     seconds(900)},
};

struct fault
{
    std::string name;
    bool wrongSizes = false;
    bool badWorkers = false;
    bool rackLosses = false;
    bool lateUsage = false;
    bool cancelWaves = false;
};

const std::vector<fault> faults = {
    {"none"},
    {"sizes-10x", true, false, false, true},
    {"bad-workers", false, true, false, false},
    {"rack-losses", false, false, true, false},
    {"late-usage", false, false, false, true},
    {"cancel-waves", false, false, false, false, true},
};

double cpuSeconds()
{
    timespec now {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return double(now.tv_sec) + double(now.tv_nsec) * 1e-9;
}

double percentile(std::vector<double> &values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(part * double(values.size()));
    return values[std::min(at, values.size() - 1)];
}

enum class kind_of_work : std::uint8_t { Urgent, Service, Together, Batch, Count };
constexpr const char *kindNames[] = {"urgent", "service", "all-or-nothing", "batch"};

struct sim_task
{
    double remaining = 0;
    std::uint32_t attempt = 0;
    time_point started {};
    time_point waitsSince {};
    bool placed = false;
    bool waited = false;
    resources held;
    std::uint32_t worker = 0;
};

struct sim_job
{
    job_submitted spec;
    kind_of_work work {};
    // What a task really uses, as a factor on what it declares.
    double factor = 1;
    std::vector<sim_task> tasks;
};

class simulation
{
public:
    simulation(const scenario &chosen, const fault &failing, std::unique_ptr<task_policy> policy,
               std::uint64_t seed)
        : m_scenario(chosen)
        , m_fault(failing)
        , m_policy(std::move(policy))
        , m_random(seed)
    { }

    void run()
    {
        addWorkers();
        giveQuotas();
        submitServices();
        scheduleArrivals();
        const auto end = m_now + m_scenario.length;
        m_warm = m_now + m_scenario.length / 3;
        while (m_now < end)
            advance(end);
        countWaiting(end);
    }

    void print(const std::string &policy, std::FILE *csv);

private:
    using deed = std::function<void()>;
    struct planned
    {
        time_point at;
        std::uint64_t sequence;
        deed what;
        bool operator<(const planned &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void plan(time_point at, deed what) { m_plan.push({at, ++m_sequence, std::move(what)}); }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    std::uint32_t below(std::uint32_t bound)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(m_random);
    }
    static duration inSeconds(double value)
    {
        return duration_cast<duration>(std::chrono::duration<double>(value));
    }

    void advance(time_point end)
    {
        auto next = end;
        if (!m_plan.empty())
            next = std::min(next, m_plan.top().at);
        if (m_policy->nextDeadline())
            next = std::min(next, std::max(m_now, *m_policy->nextDeadline()));
        account(next);
        m_now = next;
        if (m_policy->nextDeadline() && *m_policy->nextDeadline() <= m_now)
            measured(m_timerTimes, [&] { m_policy->expire(m_now, m_actions); });
        while (!m_plan.empty() && m_plan.top().at <= m_now) {
            const auto what = m_plan.top().what;
            m_plan.pop();
            what();
        }
    }

    void send(const task_event &event)
    {
        measured(m_eventTimes, [&] { m_policy->step(event, m_now, m_actions); });
    }

    void measured(std::vector<double> &times, const deed &decide)
    {
        const auto before = cpuSeconds();
        decide();
        const auto spent = cpuSeconds() - before;
        if (m_now >= m_warm && m_warm != time_point {}) {
            times.push_back(spent * 1e6);
            m_cpu += spent;
        }
        obey();
    }

    void addWorkers()
    {
        std::uint32_t id = 0;
        for (const auto &shape : m_scenario.workers) {
            for (std::uint32_t at = 0; at < shape.count; ++at, ++id)
                join(id, shape.capacity);
        }
        m_bad.resize(id);
        for (std::uint32_t at = 0; m_fault.badWorkers && at < id; ++at)
            m_bad[at] = at % 50 == 7;
        if (m_fault.rackLosses)
            plan(m_now + seconds(60), [this] { loseRack(); });
        if (m_fault.cancelWaves)
            plan(m_now + seconds(30), [this] { submitWave(); });
        if (m_fault.lateUsage)
            plan(m_now + seconds(10), [this] { reportUsage(); });
    }

    void join(std::uint32_t id, const resources &capacity)
    {
        const worker_id worker {id};
        if (m_workers.size() <= id)
            m_workers.resize(id + 1);
        m_workers[id] = {capacity, {}};
        m_total += capacity;
        const rack_id rack {id / 8};
        const data_centre_id dataCentre {id / 512};
        const worker_class kind {capacity.accelerators > 0 ? 2U : 1U};
        send(worker_joined {worker, kind, rack, dataCentre, {}, capacity});
        send(worker_confirmed {worker, {}});
    }

    resources shape()
    {
        // A task asks for half a worker at most.
        const auto &largest = m_scenario.workers.front().capacity;
        static constexpr std::int64_t coreSizes[] = {500, 1'000, 2'000, 4'000, 8'000};
        static constexpr std::int64_t memorySizes[] = {1'024, 2'048, 4'096, 8'192};
        const auto cores = std::min(coreSizes[below(5)], largest.milliCores / 2);
        const auto memory = memorySizes[below(4)] * std::max<std::int64_t>(1, cores / 2'000);
        return {cores, std::min(memory, largest.memoryMib / 2), 0};
    }

    void submit(kind_of_work work, std::uint32_t tasks, const resources &each, double run)
    {
        sim_job job;
        job.work = work;
        job.spec.job = job_id {++m_jobs};
        job.spec.team = team_id {below(m_scenario.teams)};
        job.spec.tasks = tasks;
        job.spec.perTask = each;
        job.spec.checkpointable = below(2) == 0;
        job.spec.runTime = inSeconds(run);
        if (work == kind_of_work::Urgent)
            job.spec.urgency = job_urgency::Urgent;
        if (work == kind_of_work::Service) {
            job.spec.kind = job_kind::Service;
            job.spec.spread = spread_rule::Racks;
        }
        if (work == kind_of_work::Together)
            job.spec.kind = job_kind::AllOrNothing;
        job.factor = 0.7;
        if (m_fault.wrongSizes && work == kind_of_work::Batch)
            job.factor = below(2) == 0 ? 0.1 : 1.5;
        job.tasks.resize(tasks);
        for (auto &task : job.tasks) {
            const bool far = m_fault.wrongSizes && work != kind_of_work::Service;
            const double wrong = far ? (below(2) == 0 ? 0.1 : 10.0) / 5.05 : 1.0;
            task.remaining = run * wrong * (0.5 + uniform());
            task.waitsSince = m_now;
        }
        const auto spec = job.spec;
        m_known.emplace(spec.job, std::move(job));
        send(spec);
    }

    // Each team gets an even part of the group.
    void giveQuotas()
    {
        const std::int64_t teams = m_scenario.teams;
        const resources quota {m_total.milliCores / teams, m_total.memoryMib / teams,
                               m_total.accelerators / teams};
        for (std::uint32_t team = 0; team < m_scenario.teams; ++team)
            send(quota_changed {team_id {team}, quota});
    }

    void submitServices()
    {
        for (std::uint32_t at = 0; at < m_scenario.serviceTasks / 20; ++at)
            submit(kind_of_work::Service, 20, {2'500, 4'096, 0}, 1e9);
    }

    void scheduleArrivals()
    {
        // The group is filled at once, then arrivals keep it saturated.
        const auto fill = static_cast<int>(m_scenario.startsPerSecond * m_scenario.runSeconds / 8);
        for (int at = 0; at < fill; ++at)
            plan(m_now + milliseconds(100) + std::chrono::microseconds(100) * at,
                 [this] { arriveOne(); });
        plan(m_now + seconds(5), [this] { arrive(); });
    }

    void arrive()
    {
        arriveOne();
        const double jobsPerSecond = m_scenario.startsPerSecond / 8;
        // Arrivals come in waves of a minute.
        const auto minute = std::chrono::duration<double>(m_now.time_since_epoch()).count() / 60;
        const double wave = 1 + 0.3 * std::sin(minute * 6.283);
        const double pause = -std::log(1 - uniform()) / (jobsPerSecond * wave);
        plan(m_now + inSeconds(pause), [this] { arrive(); });
    }

    void arriveOne()
    {
        const auto pick = below(1000);
        const double run = m_scenario.runSeconds * std::exp(1.0 * (uniform() + uniform() - 1));
        const bool accelerators = m_total.accelerators > 0;
        if (pick < 40)
            return submit(kind_of_work::Urgent, 1 + below(4), shape(), run / 4);
        if (accelerators && pick < 54)
            return submit(kind_of_work::Together, 1 + below(32), {8'000, 16'384, 2}, run * 2);
        if (!accelerators && pick < 100)
            return submit(kind_of_work::Together, 2 + below(15), shape(), run);
        submit(kind_of_work::Batch, 1 + below(15), shape(), run);
    }

    // Ten thousand jobs arrive at once and are cancelled at once ten seconds later.
    void submitWave()
    {
        const auto first = m_jobs + 1;
        for (int at = 0; at < 10'000; ++at)
            submit(kind_of_work::Batch, 1, {500, 1'024, 0}, m_scenario.runSeconds);
        plan(m_now + seconds(10), [this, first] { cancelWave(first); });
        plan(m_now + seconds(60), [this] { submitWave(); });
    }

    void cancelWave(std::uint64_t first)
    {
        const auto before = m_cpu;
        for (std::uint64_t id = first; id < first + 10'000; ++id)
            send(job_cancelled {job_id {id}});
        m_waveCpu = std::max(m_waveCpu, m_cpu - before);
    }

    void loseRack()
    {
        const auto before = m_cpu;
        const auto racks = static_cast<std::uint32_t>(m_workers.size() / 8);
        const auto rack = below(racks);
        for (std::uint32_t id = rack * 8; id < rack * 8 + 8; ++id)
            send(worker_lost {worker_id {id}});
        m_waveCpu = std::max(m_waveCpu, m_cpu - before);
        plan(m_now + seconds(10), [this, rack] { replaceRack(rack); });
        plan(m_now + seconds(60), [this] { loseRack(); });
    }

    void replaceRack(std::uint32_t rack)
    {
        for (std::uint32_t id = rack * 8; id < rack * 8 + 8; ++id) {
            const auto capacity = m_workers[id].capacity;
            m_total = m_total - capacity;
            for (auto &[key, job] : m_known) {
                for (auto &task : job.tasks) {
                    if (task.placed && task.worker == id)
                        takeOff(job, task);
                }
            }
            send(worker_dead {worker_id {id}});
            join(id, capacity);
        }
    }

    void reportUsage()
    {
        const auto asOf = m_now - seconds(30);
        std::vector<usage_reported> reports(m_workers.size());
        for (const auto &[key, job] : m_known) {
            if (job.work != kind_of_work::Batch)
                continue;
            for (std::uint32_t at = 0; at < job.tasks.size(); ++at) {
                const auto &task = job.tasks[at];
                if (!task.placed || task.started > asOf)
                    continue;
                const auto &each = job.spec.perTask;
                resources used {std::int64_t(double(each.milliCores) * job.factor),
                                std::int64_t(double(each.memoryMib) * job.factor), 0};
                used.milliCores = std::min(used.milliCores, task.held.milliCores);
                reports[task.worker].tasks.push_back({{key, at, task.attempt}, used});
            }
        }
        for (std::uint32_t at = 0; at < reports.size(); ++at) {
            reports[at].worker = worker_id {at};
            reports[at].asOf = asOf;
            if (!reports[at].tasks.empty())
                send(reports[at]);
        }
        plan(m_now + seconds(10), [this] { reportUsage(); });
    }

    void obey()
    {
        const auto actions = std::move(m_actions);
        m_actions.clear();
        for (const auto &action : actions)
            std::visit([&](const auto &typed) { take(typed); }, action);
    }

    sim_task *find(const task_id &id)
    {
        const auto found = m_known.find(id.job);
        if (found == m_known.end())
            return nullptr;
        auto &task = found->second.tasks[id.index];
        return task.placed && task.attempt == id.attempt ? &task : nullptr;
    }

    void take(const start_task &order)
    {
        auto &job = m_known.at(order.task.job);
        auto &task = job.tasks[order.task.index];
        if (task.placed)
            std::printf("ERROR: a task was started twice\n");
        task.placed = true;
        task.attempt = order.task.attempt;
        task.started = m_now;
        task.worker = number(order.worker);
        task.held = order.held;
        m_workers[task.worker].held += order.held;
        m_held += order.held;
        ++m_running;
        ++m_starts;
        if (m_now >= m_warm)
            ++m_measuredStarts;
        if (!task.waited && task.waitsSince >= m_warm)
            m_waits[std::size_t(job.work)].push_back(wait(task, m_now));
        task.waited = true;
        if (!order.held.fitsIn(m_workers[task.worker].capacity))
            std::printf("ERROR: committed beyond capacity\n");
        const auto id = order.task;
        plan(m_now + milliseconds(5), [this, id] {
            if (find(id) != nullptr)
                send(task_started {id});
        });
        if (m_bad[task.worker])
            return plan(m_now + milliseconds(500), [this, id] { end(id, task_outcome::Failed); });
        plan(m_now + inSeconds(task.remaining), [this, id] { end(id, task_outcome::Succeeded); });
    }

    static double wait(const sim_task &task, time_point until)
    {
        return std::chrono::duration<double>(until - task.waitsSince).count();
    }

    void take(const stop_task &order)
    {
        const auto id = order.task;
        if (order.reason == stop_reason::Preempted && find(id) != nullptr) {
            ++m_preemptions;
            auto &job = m_known.at(id.job);
            const auto &task = job.tasks[id.index];
            const double cores = double(task.held.milliCores) / 1000;
            if (!job.spec.checkpointable)
                m_lost += std::chrono::duration<double>(m_now - task.started).count() * cores;
        }
        plan(m_now + milliseconds(20), [this, id] { end(id, task_outcome::Stopped); });
    }

    void take(const checkpoint_task &order)
    {
        const auto id = order.task;
        plan(m_now + milliseconds(300), [this, id] {
            if (find(id) != nullptr)
                send(task_checkpointed {id});
        });
    }

    void take(const throttle_task &order)
    {
        if (auto *task = find(order.task)) {
            m_workers[task->worker].held += order.limit - task->held;
            m_held += order.limit - task->held;
            task->held = order.limit;
            ++m_throttles;
        }
    }

    void take(const reject_job &order)
    {
        ++m_rejected;
        m_known.erase(order.job);
    }
    void take(const finish_job &order)
    {
        m_finished[std::size_t(order.outcome)]++;
        m_known.erase(order.job);
    }
    void take(const quarantine_worker &) { ++m_quarantines; }
    void take(const release_worker &) { ++m_returns; }

    void takeOff(sim_job &job, sim_task &task)
    {
        m_workers[task.worker].held -= task.held;
        m_held -= task.held;
        --m_running;
        task.placed = false;
        if (job.spec.checkpointable)
            task.remaining -= std::chrono::duration<double>(m_now - task.started).count();
        task.remaining = std::max(task.remaining, 0.1);
    }

    void end(const task_id &id, task_outcome outcome)
    {
        auto *task = find(id);
        if (task == nullptr)
            return;
        takeOff(m_known.at(id.job), *task);
        send(task_ended {id, outcome});
    }

    // Work that still waits at the end counts with the time that it has waited.
    void countWaiting(time_point end)
    {
        for (const auto &[id, job] : m_known) {
            for (const auto &task : job.tasks) {
                if (!task.waited && task.waitsSince >= m_warm)
                    m_waits[std::size_t(job.work)].push_back(wait(task, end));
            }
        }
    }

    // Adds up what is held, and what is stranded: free beside a full resource.
    void account(time_point next)
    {
        if (m_now < m_warm || m_warm == time_point {})
            return;
        const double span = std::chrono::duration<double>(next - m_now).count();
        m_span += span;
        m_use[0] += span * double(m_held.milliCores) / double(m_total.milliCores);
        m_use[1] += span * double(m_held.memoryMib) / double(m_total.memoryMib);
        if (m_total.accelerators > 0)
            m_use[2] += span * double(m_held.accelerators) / double(m_total.accelerators);
        m_tasks += span * double(m_running);
        if (m_now < m_nextStranded)
            return;
        m_nextStranded = m_now + seconds(10);
        ++m_strandedSamples;
        for (const auto &worker : m_workers) {
            const auto free = worker.capacity - worker.held;
            if (free.memoryMib < 1'024)
                m_stranded[0] += double(free.milliCores) / double(m_total.milliCores);
            if (free.milliCores < 500)
                m_stranded[1] += double(free.memoryMib) / double(m_total.memoryMib);
            if (m_total.accelerators > 0 && (free.milliCores < 8'000 || free.memoryMib < 16'384))
                m_stranded[2] += double(free.accelerators) / double(m_total.accelerators);
        }
    }

    struct sim_worker
    {
        resources capacity;
        resources held;
    };

    const scenario &m_scenario;
    const fault &m_fault;
    std::unique_ptr<task_policy> m_policy;
    std::mt19937_64 m_random;
    std::priority_queue<planned> m_plan;
    std::uint64_t m_sequence = 0;
    time_point m_now {std::chrono::hours(1)};
    time_point m_warm {};
    std::vector<task_action> m_actions;
    std::map<job_id, sim_job> m_known;
    std::vector<sim_worker> m_workers;
    std::vector<bool> m_bad;
    resources m_total;
    resources m_held;
    std::uint64_t m_jobs = 0;
    std::uint64_t m_running = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_measuredStarts = 0;
    std::uint64_t m_preemptions = 0;
    std::uint64_t m_throttles = 0;
    std::uint64_t m_rejected = 0;
    std::uint64_t m_quarantines = 0;
    std::uint64_t m_returns = 0;
    std::uint64_t m_finished[4] = {};
    double m_lost = 0;
    double m_cpu = 0;
    // The most that one wave of cancellations, or the loss of one rack, took in all its steps.
    double m_waveCpu = 0;
    double m_span = 0;
    double m_tasks = 0;
    double m_use[3] = {};
    double m_stranded[3] = {};
    std::uint64_t m_strandedSamples = 0;
    time_point m_nextStranded {};
    std::vector<double> m_waits[std::size_t(kind_of_work::Count)];
    std::vector<double> m_eventTimes;
    std::vector<double> m_timerTimes;
};

void printTimes(const char *what, std::vector<double> &times)
{
    const double p50 = percentile(times, 0.5);
    const double p99 = percentile(times, 0.99);
    const double p999 = percentile(times, 0.999);
    std::printf("  CPU of %-8s n %7zu  p50 %.2f us  p99 %.2f us  p99.9 %.2f us  longest %.0f us\n",
                what, times.size(), p50, p99, p999, times.empty() ? 0 : times.back());
}

void simulation::print(const std::string &policy, std::FILE *csv)
{
    std::printf("\n%s, fault %s, policy %s\n", m_scenario.name.c_str(), m_fault.name.c_str(),
                policy.c_str());
    for (std::size_t at = 0; at < std::size_t(kind_of_work::Count); ++at) {
        auto &waits = m_waits[at];
        if (waits.empty())
            continue;
        const double p50 = percentile(waits, 0.5);
        const double p99 = percentile(waits, 0.99);
        const double p999 = percentile(waits, 0.999);
        std::printf(
            "  wait %-15s n %7zu  p50 %9.3f s  p99 %9.3f s  p99.9 %9.3f s  longest %9.3f s\n",
            kindNames[at], waits.size(), p50, p99, p999, waits.back());
        if (csv != nullptr)
            std::fprintf(csv, "%s,%s,%s,%s,%zu,%f,%f,%f,%f\n", m_scenario.name.c_str(),
                         m_fault.name.c_str(), policy.c_str(), kindNames[at], waits.size(), p50,
                         p99, p999, waits.back());
    }
    const auto samples = double(std::max<std::uint64_t>(m_strandedSamples, 1));
    std::printf(
        "  use cores %.3f memory %.3f accelerators %.3f; stranded %.3f %.3f %.3f; tasks %.0f\n",
        m_use[0] / m_span, m_use[1] / m_span, m_use[2] / m_span, m_stranded[0] / samples,
        m_stranded[1] / samples, m_stranded[2] / samples, m_tasks / m_span);
    std::printf("  starts/s %.1f; preempted %lu, lost %.0f core-s (%.4f of held); throttled %lu\n",
                double(m_measuredStarts) / m_span, m_preemptions, m_lost,
                m_lost / (m_use[0] * double(m_total.milliCores) / 1000), m_throttles);
    std::printf("  jobs: succeeded %lu failed %lu rejected %lu; quarantined %lu returned %lu\n",
                m_finished[0], m_finished[1], m_rejected, m_quarantines, m_returns);
    printTimes("events", m_eventTimes);
    printTimes("timers", m_timerTimes);
    std::printf("  %.0f starts per CPU-s, %.3f %% of a core; a whole wave took %.2f ms\n",
                double(m_measuredStarts) / m_cpu, 100 * m_cpu / m_span, m_waveCpu * 1e3);
    std::fflush(stdout);
}

bool chosen(const std::string &wanted, const std::string &name)
{
    return wanted == "all" || wanted == name;
}

std::string argument(int argc, char **argv, int at, const std::string &otherwise)
{
    return argc > at ? argv[at] : otherwise;
}

} // namespace

int main(int argc, char **argv)
{
    const auto wantedScenario = argument(argc, argv, 1, "all");
    const auto wantedFault = argument(argc, argv, 2, "none");
    const auto wantedPolicy = argument(argc, argv, 3, "all");
    const auto seed = std::stoull(argument(argc, argv, 4, "1"));
    std::FILE *csv = argc > 5 ? std::fopen(argv[5], "a") : nullptr;
    std::printf("seed %llu\n", seed);
    for (const auto &shape : scenarios) {
        for (const auto &failing : faults) {
            for (const auto &policy : taskPolicies) {
                if (!chosen(wantedScenario, shape.name) || !chosen(wantedFault, failing.name)
                    || !chosen(wantedPolicy, policy.name))
                    continue;
                simulation run(shape, failing, policy.make(), seed);
                run.run();
                run.print(policy.name, csv);
            }
        }
    }
    if (csv != nullptr)
        std::fclose(csv);
    return 0;
}

#ifndef PLANTAINGAP_BENCHMARKS_TASK_POLICY_BASELINES_H
#define PLANTAINGAP_BENCHMARKS_TASK_POLICY_BASELINES_H

#include "decision/task_placement.h"
#include "decision/task_scheduler.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

// What the benchmark compares: the scheduler under each of its rules, and two plain baselines.
namespace plantaingap::decision {

class task_policy
{
public:
    virtual ~task_policy() = default;
    virtual void step(const task_event &event, time_point now,
                      std::vector<task_action> &actions) = 0;
    virtual std::optional<time_point> nextDeadline() const { return std::nullopt; }
    virtual void expire(time_point, std::vector<task_action> &) { }
};

class scheduler_policy : public task_policy
{
public:
    explicit scheduler_policy(std::uint32_t rule)
        : m_scheduler(limitsWith(rule))
    { }
    void step(const task_event &event, time_point now, std::vector<task_action> &actions) override
    {
        m_scheduler.step(event, now, actions);
    }
    std::optional<time_point> nextDeadline() const override { return m_scheduler.nextDeadline(); }
    void expire(time_point now, std::vector<task_action> &actions) override
    {
        m_scheduler.expire(now, actions);
    }

private:
    static task_limits limitsWith(std::uint32_t rule)
    {
        task_limits limits;
        limits.placementRule = rule;
        return limits;
    }
    task_scheduler m_scheduler;
};

// One queue in order of arrival whose head blocks, or one queue by level of which the first that
// fits is taken. Workers are searched one after the other.
class baseline_policy : public task_policy
{
public:
    enum class order : std::uint8_t { FirstCome, Priority };

    explicit baseline_policy(order chosen)
        : m_order(chosen)
    { }

    void step(const task_event &event, time_point now, std::vector<task_action> &actions) override
    {
        if (const auto *joined = std::get_if<worker_joined>(&event))
            join(*joined);
        else if (const auto *submitted = std::get_if<job_submitted>(&event))
            submit(*submitted);
        else if (const auto *ended = std::get_if<task_ended>(&event))
            end(*ended, actions);
        else if (const auto *dead = std::get_if<worker_dead>(&event))
            lose(number(dead->worker));
        else if (const auto *lost = std::get_if<worker_lost>(&event))
            m_workers[number(lost->worker)].lost = true;
        else
            return;
        dispatch(now, actions);
    }

private:
    struct base_worker
    {
        resources capacity;
        resources free;
        bool lost = false;
    };
    struct base_job
    {
        job_submitted spec;
        std::deque<std::uint32_t> waiting;
        std::map<std::uint32_t, std::uint32_t> places;
        std::vector<std::uint32_t> attempts;
        std::uint32_t finished = 0;
    };
    using key = std::pair<int, std::uint64_t>;

    void join(const worker_joined &joined)
    {
        const auto id = number(joined.worker);
        if (m_workers.size() <= id)
            m_workers.resize(id + 1);
        m_workers[id] = {joined.capacity, joined.capacity, false};
        m_changed = id;
    }

    void submit(const job_submitted &spec)
    {
        auto &job = m_jobs[spec.job];
        job.spec = spec;
        job.attempts.resize(spec.tasks);
        for (std::uint32_t at = 0; at < spec.tasks; ++at)
            job.waiting.push_back(at);
        m_queue.emplace(keyOf(spec), &job);
        m_fresh = &job;
    }

    key keyOf(const job_submitted &spec) const
    {
        const int level = m_order == order::Priority ? int(levelOf(spec)) : 0;
        return {level, number(spec.job)};
    }

    void end(const task_ended &ended, std::vector<task_action> &actions)
    {
        const auto found = m_jobs.find(ended.task.job);
        if (found == m_jobs.end())
            return;
        auto &job = found->second;
        const auto at = job.places.find(ended.task.index);
        if (at == job.places.end() || job.attempts[ended.task.index] != ended.task.attempt)
            return;
        m_workers[at->second].free += job.spec.perTask;
        m_changed = at->second;
        job.places.erase(at);
        if (ended.outcome != task_outcome::Succeeded) {
            requeue(job, ended.task.index);
            return;
        }
        if (++job.finished == job.spec.tasks) {
            actions.emplace_back(finish_job {job.spec.job, job_outcome::Succeeded});
            m_jobs.erase(found);
        }
    }

    void requeue(base_job &job, std::uint32_t index)
    {
        job.waiting.push_back(index);
        m_queue.emplace(keyOf(job.spec), &job);
    }

    void lose(std::uint32_t worker)
    {
        for (auto &[id, job] : m_jobs) {
            for (auto at = job.places.begin(); at != job.places.end();) {
                const auto index = at->first;
                const bool gone = at->second == worker;
                at = gone ? job.places.erase(at) : std::next(at);
                if (gone)
                    requeue(job, index);
            }
        }
        m_workers[worker].lost = true;
    }

    void dispatch(time_point now, std::vector<task_action> &actions)
    {
        if (m_order == order::FirstCome) {
            while (!m_queue.empty() && place(*m_queue.begin()->second, now, actions))
                m_queue.erase(m_queue.begin());
            return;
        }
        if (m_fresh != nullptr) {
            if (place(*m_fresh, now, actions))
                m_queue.erase(keyOf(m_fresh->spec));
            m_fresh = nullptr;
            return;
        }
        for (auto at = m_queue.begin(); at != m_queue.end();) {
            const auto &free = m_workers[m_changed].free;
            if (free.milliCores < 500 || free.memoryMib < 1'024)
                return;
            const bool fits = at->second->spec.perTask.fitsIn(free);
            at = fits && place(*at->second, now, actions) ? m_queue.erase(at) : std::next(at);
        }
    }

    // Places all waiting tasks; true when none is left.
    bool place(base_job &job, time_point now, std::vector<task_action> &actions)
    {
        if (job.spec.kind == job_kind::AllOrNothing && !fitsWhole(job))
            return false;
        while (!job.waiting.empty()) {
            const auto worker = find(job.spec.perTask);
            if (!worker)
                return false;
            const auto index = job.waiting.front();
            job.waiting.pop_front();
            m_workers[*worker].free -= job.spec.perTask;
            job.places[index] = *worker;
            const task_id id {job.spec.job, index, ++job.attempts[index]};
            actions.emplace_back(start_task {id, worker_id {*worker}, job.spec.perTask,
                                             now + std::chrono::seconds(1)});
        }
        return true;
    }

    bool fitsWhole(const base_job &job) const
    {
        std::uint64_t copies = 0;
        for (const auto &worker : m_workers) {
            if (!worker.lost)
                copies += countFitting(job.spec.perTask, worker.free);
        }
        return copies >= job.waiting.size();
    }

    std::optional<std::uint32_t> find(const resources &need) const
    {
        std::optional<std::uint32_t> best;
        double bestScore = 0;
        for (std::uint32_t at = 0; at < m_workers.size(); ++at) {
            const auto &worker = m_workers[at];
            if (worker.lost || !need.fitsIn(worker.free))
                continue;
            if (m_order == order::FirstCome)
                return at;
            const double score = placementRules[1].score(worker.free - need, worker.capacity, at);
            if (!best || score < bestScore) {
                best = at;
                bestScore = score;
            }
        }
        return best;
    }

    order m_order;
    std::vector<base_worker> m_workers;
    std::map<job_id, base_job> m_jobs;
    std::map<key, base_job *> m_queue;
    base_job *m_fresh = nullptr;
    std::uint32_t m_changed = 0;
};

struct named_policy
{
    std::string name;
    std::function<std::unique_ptr<task_policy>()> make;
};

inline const std::vector<named_policy> taskPolicies = {
    {"plantaingap", [] { return std::make_unique<scheduler_policy>(2); }},
    {"plantaingap-best-fit", [] { return std::make_unique<scheduler_policy>(1); }},
    {"plantaingap-first-fit", [] { return std::make_unique<scheduler_policy>(0); }},
    {"first-come-first-fit",
     [] { return std::make_unique<baseline_policy>(baseline_policy::order::FirstCome); }},
    {"priority-best-fit",
     [] { return std::make_unique<baseline_policy>(baseline_policy::order::Priority); }},
};

} // namespace plantaingap::decision

#endif

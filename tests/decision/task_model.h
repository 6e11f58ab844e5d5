#ifndef PLANTAINGAP_TESTS_TASK_MODEL_H
#define PLANTAINGAP_TESTS_TASK_MODEL_H

#include "task_fixture.h"

#include <map>
#include <plantaingap/invariant.h>
#include <stdexcept>
#include <string>

namespace plantaingap::decision {

// One random step: an operation and two numbers from which its arguments are derived.
struct model_step
{
    std::uint8_t operation = 0;
    std::uint16_t first = 0;
    std::uint16_t second = 0;
};

// Model of a small group whose workers execute the scheduler's actions, lose contact, die, drain,
// and reply late or twice. It tracks which task runs where and throws std::runtime_error when an
// invariant is violated.
class task_model
{
public:
    task_model()
    {
        invariantHandler = [](const char *name, const char *, int) {
            throw std::runtime_error(name);
        };
        for (std::uint32_t at = 0; at < WorkerCount; ++at)
            join();
        for (std::uint32_t team = 0; team < 3; ++team)
            send(quota_changed {team_id {team}, {8'000, 16'384, 1}});
    }
    ~task_model() { invariantHandler = abortOnInvariant; }

    void apply(const model_step &step)
    {
        static constexpr void (task_model::*Operations[])(std::uint32_t, std::uint32_t) = {
            &task_model::submit,       &task_model::submit,       &task_model::submit,
            &task_model::endTask,      &task_model::endTask,      &task_model::endTask,
            &task_model::deliverReply, &task_model::deliverReply, &task_model::deliverReply,
            &task_model::deliverReply, &task_model::cancel,       &task_model::disconnect,
            &task_model::reconnect,    &task_model::kill,         &task_model::drain,
            &task_model::quota,        &task_model::usage,        &task_model::advance,
            &task_model::advance,      &task_model::repeatEnd,    &task_model::submit,
            &task_model::deliverReply, &task_model::reconfirm,    &task_model::reportUnknown,
        };
        (this->*Operations[step.operation % std::size(Operations)])(step.first, step.second);
        require(m_scheduler.consistent(), "model.sums");
    }

    // Delivers replies for long enough that all tasks except services must have ended.
    void settle()
    {
        for (std::uint32_t round = 0; round < 400; ++round) {
            deliverReply(0, 0);
            deliverReply(1, 0);
            if (round % 4 == 0)
                endTask(round, 0);
            reconnect(round, 0);
            advance(round % 7, 0);
        }
    }

    std::size_t running() const { return m_running.size(); }

private:
    static constexpr std::uint32_t WorkerCount = 6;
    static constexpr resources Capacity {8'000, 16'384, 2};
    // Ids above this are never submitted.
    static constexpr std::uint64_t UnknownJobs = 1'000'000;

    struct placement
    {
        worker_id worker {};
        resources held;
    };

    static void require(bool holds, const char *invariant)
    {
        if (!holds)
            throw std::runtime_error(invariant);
    }

    void send(const task_event &event)
    {
        if (const auto *ended = std::get_if<task_ended>(&event))
            m_sentEnds.push_back(*ended);
        std::vector<task_action> actions;
        m_scheduler.step(event, m_now, actions);
        applyActions(actions);
    }

    void applyActions(const std::vector<task_action> &actions)
    {
        std::map<job_id, std::uint32_t> starts;
        for (const auto &action : actions) {
            if (const auto *start = std::get_if<start_task>(&action)) {
                ++starts[start->task.job];
                run(*start);
            } else if (const auto *stop = std::get_if<stop_task>(&action)) {
                m_pendingReplies.push_back(task_ended {stop->task, task_outcome::Stopped});
            } else if (const auto *checkpoint = std::get_if<checkpoint_task>(&action)) {
                m_pendingReplies.push_back(task_checkpointed {checkpoint->task});
            } else if (const auto *limit = std::get_if<throttle_task>(&action)) {
                throttle(*limit);
            }
        }
        for (const auto &[job, count] : starts)
            requireAllTasksStarted(job, count);
    }

    void requireAllTasksStarted(job_id job, std::uint32_t count)
    {
        const auto &spec = m_jobs.at(job);
        if (spec.kind != job_kind::AllOrNothing)
            return;
        std::uint32_t left = spec.tasks;
        for (std::uint32_t at = 0; at < spec.tasks; ++at)
            left -= m_succeeded.count({job, at});
        require(count == left, "model.all_or_nothing");
    }

    void run(const start_task &start)
    {
        require(m_acceptsStarts.count(start.worker) > 0 && m_acceptsStarts[start.worker],
                "model.unconfirmed");
        for (const auto &[id, entry] : m_running)
            require(id.job != start.task.job || id.index != start.task.index, "model.one_place");
        m_running[start.task] = {start.worker, start.held};
        require(held(start.worker).fitsIn(Capacity), "model.capacity");
        m_pendingReplies.push_back(task_started {start.task});
    }

    void throttle(const throttle_task &limit)
    {
        const auto found = m_running.find(limit.task);
        if (found == m_running.end())
            return;
        found->second.held = limit.limit;
        require(held(found->second.worker).fitsIn(Capacity), "model.capacity");
    }

    resources held(worker_id worker) const
    {
        resources sum;
        for (const auto &[id, entry] : m_running) {
            if (entry.worker == worker)
                sum += entry.held;
        }
        return sum;
    }

    worker_id pick(std::uint32_t number) const { return m_workers[number % m_workers.size()]; }

    void join()
    {
        const worker_id worker {m_nextWorker++};
        m_workers.push_back(worker);
        const rack_id rack {number(worker) / 2};
        send(worker_joined {worker, worker_class {1}, rack, {}, {}, Capacity});
        sendConfirmation(worker);
    }

    void sendConfirmation(worker_id worker)
    {
        std::vector<running_task> list;
        for (const auto &[id, entry] : m_running) {
            if (entry.worker == worker)
                list.push_back({id, entry.held});
        }
        m_acceptsStarts[worker] = true;
        m_lost[worker] = false;
        send(worker_confirmed {worker, list});
    }

    void submit(std::uint32_t first, std::uint32_t second)
    {
        job_submitted job;
        job.job = job_id {++m_nextJob};
        job.team = team_id {first % 3};
        job.kind = static_cast<job_kind>(first / 3 % 3);
        job.urgency = static_cast<job_urgency>(second % 3);
        job.tasks = 1 + second / 3 % 5;
        job.perTask = {1'000 * (1 + first / 9 % 6), 1'024 * (1 + second / 15 % 12), first / 54 % 3};
        job.checkpointable = second % 2 == 0;
        job.spread = static_cast<spread_rule>(second / 180 % 4);
        m_jobs[job.job] = job;
        send(job);
    }

    void cancel(std::uint32_t first, std::uint32_t)
    {
        if (m_nextJob > 0)
            send(job_cancelled {job_id {1 + first % m_nextJob}});
    }

    void endTask(std::uint32_t first, std::uint32_t second)
    {
        if (m_running.empty())
            return;
        auto at = std::next(m_running.begin(), first % m_running.size());
        const auto [id, entry] = *at;
        if (m_lost[entry.worker])
            return;
        m_running.erase(at);
        const auto outcome = second % 4 == 0 ? task_outcome::Failed : task_outcome::Succeeded;
        if (outcome == task_outcome::Succeeded && m_jobs[id.job].kind != job_kind::Service)
            m_succeeded[{id.job, id.index}] = true;
        send(task_ended {id, outcome});
    }

    // Delivers the reply to a pending order, mostly the oldest, if its worker is reachable.
    void deliverReply(std::uint32_t first, std::uint32_t)
    {
        if (m_pendingReplies.empty())
            return;
        const auto at =
            m_pendingReplies.begin() + (first % 2 == 0 ? 0 : first % m_pendingReplies.size());
        const auto order = *at;
        m_pendingReplies.erase(at);
        const auto id = std::visit([](const auto &typed) { return taskOf(typed); }, order);
        const auto found = m_running.find(id);
        if (found == m_running.end() || m_lost[found->second.worker])
            return;
        if (std::holds_alternative<task_ended>(order))
            m_running.erase(found);
        send(order);
    }

    static task_id taskOf(const task_ended &event) { return event.task; }
    static task_id taskOf(const task_started &event) { return event.task; }
    static task_id taskOf(const task_checkpointed &event) { return event.task; }
    static task_id taskOf(const auto &) { return {}; }

    void disconnect(std::uint32_t first, std::uint32_t)
    {
        m_lost[pick(first)] = true;
        send(worker_lost {pick(first)});
    }

    // The worker is reachable again; its tasks may have ended meanwhile.
    void reconnect(std::uint32_t first, std::uint32_t second)
    {
        const auto worker = pick(first);
        if (!m_lost[worker])
            return;
        m_now += std::chrono::seconds(2);
        for (auto at = m_running.begin(); at != m_running.end();)
            at = at->second.worker == worker && second % 2 == 1 ? m_running.erase(at)
                                                                : std::next(at);
        sendConfirmation(worker);
    }

    void reconfirm(std::uint32_t first, std::uint32_t)
    {
        if (!m_lost[pick(first)])
            sendConfirmation(pick(first));
    }

    // The worker reports a task of a job that the scheduler does not know.
    void reportUnknown(std::uint32_t first, std::uint32_t second)
    {
        const auto worker = pick(first);
        const resources demand {1'000 * (1 + second % 6), 1'024 * (1 + second / 6 % 12),
                                second / 72 % 3};
        if (m_lost[worker] || !(held(worker) + demand).fitsIn(Capacity))
            return;
        m_running[{job_id {UnknownJobs + ++m_nextUnknownJob}, 0, 1}] = {worker, demand};
        sendConfirmation(worker);
    }

    void kill(std::uint32_t first, std::uint32_t)
    {
        const auto worker = pick(first);
        std::erase_if(m_running, [&](const auto &entry) { return entry.second.worker == worker; });
        std::erase(m_workers, worker);
        m_acceptsStarts[worker] = false;
        send(worker_dead {worker});
        join();
    }

    void drain(std::uint32_t first, std::uint32_t)
    {
        m_acceptsStarts[pick(first)] = false;
        send(worker_draining {pick(first), m_now + std::chrono::seconds(60)});
    }

    void quota(std::uint32_t first, std::uint32_t second)
    {
        send(quota_changed {team_id {first % 3}, {1'000 * (second % 40), 40'960, 4}});
    }

    void usage(std::uint32_t first, std::uint32_t second)
    {
        usage_reported report {pick(first), {}, m_now - std::chrono::seconds(second % 60)};
        for (const auto &[id, entry] : m_running) {
            auto used = entry.held;
            used.milliCores = used.milliCores * (second % 12) / 10;
            used.memoryMib = used.memoryMib * (first % 12) / 10;
            if (entry.worker == report.worker)
                report.tasks.push_back({id, used});
        }
        send(report);
    }

    void advance(std::uint32_t first, std::uint32_t)
    {
        const auto deadline = m_now + std::chrono::milliseconds(100 << (first % 7));
        for (int calls = 0; calls < 2000; ++calls) {
            const auto due = m_scheduler.nextDeadline();
            if (!due || *due > deadline)
                break;
            m_now = std::max(m_now, *due);
            std::vector<task_action> actions;
            m_scheduler.expire(m_now, actions);
            applyActions(actions);
        }
        m_now = std::max(m_now, deadline);
    }

    // Delivers an earlier task_ended a second time.
    void repeatEnd(std::uint32_t first, std::uint32_t)
    {
        if (!m_sentEnds.empty())
            send(m_sentEnds[first % m_sentEnds.size()]);
    }

    task_scheduler m_scheduler {task_limits {}};
    time_point m_now {std::chrono::hours(1)};
    std::vector<task_ended> m_sentEnds;
    std::vector<worker_id> m_workers;
    std::map<worker_id, bool> m_acceptsStarts;
    std::map<worker_id, bool> m_lost;
    std::map<task_id, placement> m_running;
    std::map<std::pair<job_id, std::uint32_t>, bool> m_succeeded;
    std::map<job_id, job_submitted> m_jobs;
    std::vector<task_event> m_pendingReplies;
    std::uint64_t m_nextJob = 0;
    std::uint64_t m_nextUnknownJob = 0;
    std::uint32_t m_nextWorker = 0;
};

} // namespace plantaingap::decision

#endif

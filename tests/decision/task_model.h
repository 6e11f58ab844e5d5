#ifndef PLANTAINGAP_TESTS_TASK_MODEL_H
#define PLANTAINGAP_TESTS_TASK_MODEL_H

#include "task_fixture.h"

#include <map>
#include <plantaingap/invariant.h>
#include <stdexcept>
#include <string>

namespace plantaingap::decision {

// One thing that happens to the group; the numbers choose among what is possible then.
struct model_step
{
    std::uint8_t what = 0;
    std::uint16_t first = 0;
    std::uint16_t second = 0;
};

// A small group of workers that really run what they are told, lose contact, die, leave and answer
// late or twice. It knows what runs where and throws std::runtime_error when a promise is broken.
class task_model
{
public:
    task_model()
    {
        invariantHandler = [](const char *name, const char *, int) {
            throw std::runtime_error(name);
        };
        for (std::uint32_t at = 0; at < Workers; ++at)
            join();
        for (std::uint32_t team = 0; team < 3; ++team)
            send(quota_changed {team_id {team}, {8'000, 16'384, 1}});
    }
    ~task_model() { invariantHandler = abortOnInvariant; }

    void apply(const model_step &step)
    {
        static constexpr void (task_model::*Deeds[])(std::uint32_t, std::uint32_t) = {
            &task_model::submit, &task_model::submit, &task_model::submit,  &task_model::end,
            &task_model::end,    &task_model::end,    &task_model::answer,  &task_model::answer,
            &task_model::answer, &task_model::answer, &task_model::cancel,  &task_model::lose,
            &task_model::regain, &task_model::die,    &task_model::drain,   &task_model::quota,
            &task_model::usage,  &task_model::pass,   &task_model::pass,    &task_model::repeat,
            &task_model::submit, &task_model::answer, &task_model::confirm,
        };
        (this->*Deeds[step.what % std::size(Deeds)])(step.first, step.second);
        require(m_scheduler.consistent(), "model.sums");
    }

    // Answers everything for long enough that all work must have ended but services.
    void settle()
    {
        for (std::uint32_t round = 0; round < 400; ++round) {
            answer(0, 0);
            answer(1, 0);
            if (round % 4 == 0)
                end(round, 0);
            regain(round, 0);
            pass(round % 7, 0);
        }
    }

    std::size_t running() const { return m_running.size(); }

private:
    static constexpr std::uint32_t Workers = 6;
    static constexpr resources Capacity {8'000, 16'384, 2};

    struct placing
    {
        worker_id worker {};
        resources held;
    };

    static void require(bool holds, const char *what)
    {
        if (!holds)
            throw std::runtime_error(what);
    }

    void send(const task_event &event)
    {
        if (const auto *ended = std::get_if<task_ended>(&event))
            m_ends.push_back(*ended);
        std::vector<task_action> actions;
        m_scheduler.step(event, m_now, actions);
        take(actions);
    }

    void take(const std::vector<task_action> &actions)
    {
        std::map<job_id, std::uint32_t> starts;
        for (const auto &action : actions) {
            if (const auto *start = std::get_if<start_task>(&action)) {
                ++starts[start->task.job];
                run(*start);
            } else if (const auto *stop = std::get_if<stop_task>(&action)) {
                m_orders.push_back(task_ended {stop->task, task_outcome::Stopped});
            } else if (const auto *save = std::get_if<checkpoint_task>(&action)) {
                m_orders.push_back(task_checkpointed {save->task});
            } else if (const auto *limit = std::get_if<throttle_task>(&action)) {
                throttle(*limit);
            }
        }
        for (const auto &[job, count] : starts)
            requireWhole(job, count);
    }

    void requireWhole(job_id job, std::uint32_t count)
    {
        const auto &spec = m_jobs.at(job);
        if (spec.kind != job_kind::AllOrNothing)
            return;
        std::uint32_t left = spec.tasks;
        for (std::uint32_t at = 0; at < spec.tasks; ++at)
            left -= m_done.count({job, at});
        require(count == left, "model.all_or_nothing");
    }

    void run(const start_task &start)
    {
        require(m_known.count(start.worker) > 0 && m_known[start.worker], "model.unconfirmed");
        for (const auto &[id, place] : m_running)
            require(id.job != start.task.job || id.index != start.task.index, "model.one_place");
        m_running[start.task] = {start.worker, start.held};
        require(held(start.worker).fitsIn(Capacity), "model.capacity");
        m_orders.push_back(task_started {start.task});
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
        for (const auto &[id, place] : m_running) {
            if (place.worker == worker)
                sum += place.held;
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
        confirmNow(worker);
    }

    void confirmNow(worker_id worker)
    {
        std::vector<running_task> list;
        for (const auto &[id, place] : m_running) {
            if (place.worker == worker)
                list.push_back({id, place.held});
        }
        m_known[worker] = true;
        m_lost[worker] = false;
        send(worker_confirmed {worker, list});
    }

    void submit(std::uint32_t first, std::uint32_t second)
    {
        job_submitted job;
        job.job = job_id {++m_nextJob};
        job.team = team_id {first % 3};
        job.kind = static_cast<job_kind>(first / 3 % 3);
        job.urgent = static_cast<urgency>(second % 3);
        job.tasks = 1 + second / 3 % 5;
        job.each = {1'000 * (1 + first / 9 % 6), 1'024 * (1 + second / 15 % 12), first / 54 % 3};
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

    void end(std::uint32_t first, std::uint32_t second)
    {
        if (m_running.empty())
            return;
        auto at = std::next(m_running.begin(), first % m_running.size());
        const auto [id, place] = *at;
        if (m_lost[place.worker])
            return;
        m_running.erase(at);
        const auto outcome = second % 4 == 0 ? task_outcome::Failed : task_outcome::Succeeded;
        if (outcome == task_outcome::Succeeded && m_jobs[id.job].kind != job_kind::Service)
            m_done[{id.job, id.index}] = true;
        send(task_ended {id, outcome});
    }

    // Workers that can be reached carry out the oldest order.
    void answer(std::uint32_t first, std::uint32_t)
    {
        if (m_orders.empty())
            return;
        const auto at = m_orders.begin() + (first % 2 == 0 ? 0 : first % m_orders.size());
        const auto order = *at;
        m_orders.erase(at);
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

    void lose(std::uint32_t first, std::uint32_t)
    {
        m_lost[pick(first)] = true;
        send(worker_lost {pick(first)});
    }

    // Contact is back; some tasks have ended meanwhile.
    void regain(std::uint32_t first, std::uint32_t second)
    {
        const auto worker = pick(first);
        if (!m_lost[worker])
            return;
        m_now += std::chrono::seconds(2);
        for (auto at = m_running.begin(); at != m_running.end();)
            at = at->second.worker == worker && second % 2 == 1 ? m_running.erase(at)
                                                                : std::next(at);
        confirmNow(worker);
    }

    void confirm(std::uint32_t first, std::uint32_t)
    {
        if (!m_lost[pick(first)])
            confirmNow(pick(first));
    }

    void die(std::uint32_t first, std::uint32_t)
    {
        const auto worker = pick(first);
        std::erase_if(m_running, [&](const auto &entry) { return entry.second.worker == worker; });
        std::erase(m_workers, worker);
        m_known[worker] = false;
        send(worker_dead {worker});
        join();
    }

    void drain(std::uint32_t first, std::uint32_t)
    {
        m_known[pick(first)] = false;
        send(worker_draining {pick(first), m_now + std::chrono::seconds(60)});
    }

    void quota(std::uint32_t first, std::uint32_t second)
    {
        send(quota_changed {team_id {first % 3}, {1'000 * (second % 40), 40'960, 4}});
    }

    void usage(std::uint32_t first, std::uint32_t second)
    {
        usage_reported report {pick(first), {}, m_now - std::chrono::seconds(second % 60)};
        for (const auto &[id, place] : m_running) {
            auto used = place.held;
            used.milliCores = used.milliCores * (second % 12) / 10;
            used.memoryMib = used.memoryMib * (first % 12) / 10;
            if (place.worker == report.worker)
                report.tasks.push_back({id, used});
        }
        send(report);
    }

    void pass(std::uint32_t first, std::uint32_t)
    {
        const auto end = m_now + std::chrono::milliseconds(100 << (first % 7));
        for (int calls = 0; calls < 2000; ++calls) {
            const auto due = m_scheduler.nextDeadline();
            if (!due || *due > end)
                break;
            m_now = std::max(m_now, *due);
            std::vector<task_action> actions;
            m_scheduler.expire(m_now, actions);
            take(actions);
        }
        m_now = std::max(m_now, end);
    }

    // The network delivers some earlier end a second time.
    void repeat(std::uint32_t first, std::uint32_t)
    {
        if (!m_ends.empty())
            send(m_ends[first % m_ends.size()]);
    }

    task_scheduler m_scheduler {task_limits {}};
    time_point m_now {std::chrono::hours(1)};
    std::vector<task_ended> m_ends;
    std::vector<worker_id> m_workers;
    std::map<worker_id, bool> m_known;
    std::map<worker_id, bool> m_lost;
    std::map<task_id, placing> m_running;
    std::map<std::pair<job_id, std::uint32_t>, bool> m_done;
    std::map<job_id, job_submitted> m_jobs;
    std::vector<task_event> m_orders;
    std::uint64_t m_nextJob = 0;
    std::uint32_t m_nextWorker = 0;
};

} // namespace plantaingap::decision

#endif

#ifndef PLANTAINGAP_BENCHMARKS_CAPACITY_GROUP_H
#define PLANTAINGAP_BENCHMARKS_CAPACITY_GROUP_H

#include "backend/worker_order_handler.h"
#include "capacity_fit.h"
#include "runtime/group_control.h"
#include "runtime/job_row.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <map>

// One group of workers under its owner, with orders and answers coded as they go over the wire but
// handed over in memory, on a clock that the benchmark moves.
namespace plantaingap::capacity {

struct group_cost
{
    double heap = 0;
    // Of owner and codecs together, per second of the group's life without changes.
    double processorMicros = 0;
    double messages = 0;
    double bytes = 0;
    // Of owner and codecs, for one task from submission to its recorded end.
    double microsPerTask = 0;
};

class driven_group
{
public:
    driven_group(std::uint32_t workers, std::uint32_t tasksEach)
        : m_control({instance_id {1}, 1}, {})
    {
        std::vector<decision::worker_joined> joining;
        for (std::uint32_t index = 1; index <= workers; ++index) {
            decision::worker_joined joined;
            joined.worker = worker_id {index};
            joined.kind = decision::worker_class {1};
            joined.rack = rack_id {index / 8};
            joined.capacity = {64'000, 131'072, 2};
            joining.push_back(joined);
            m_rules.emplace(joined.worker, backend::worker_order_handler(joined.worker, 1));
        }
        act([&](auto &actions) { m_control.setWorkers(joining, m_now, actions); });
        step(candidates_changed {{{instance_id {1}, 1}}});
        step(row_read {m_now, std::nullopt});
        advance(std::chrono::seconds(30));
        submit(workers * tasksEach);
        advance(std::chrono::seconds(30));
    }

    std::size_t running() const { return m_held.size(); }
    std::size_t messages() const { return m_messages; }
    std::size_t bytes() const { return m_bytes; }

    void advance(duration span)
    {
        const auto until = m_now + span;
        while (m_now < until) {
            m_now += std::chrono::milliseconds(100);
            act([&](auto &actions) { m_control.tick(m_now, actions); });
            if (m_wantsRow)
                step(row_read {m_now, m_row});
        }
    }

    void submit(std::uint32_t tasks)
    {
        decision::job_submitted job;
        job.job = job_id {++m_jobs};
        job.team = team_id {1};
        job.tasks = tasks;
        job.perTask = {1000, 1024, 0};
        job.taskKind = kind_id {1};
        if (tasks > 0)
            act([&](auto &actions) { m_control.step(job, m_now, actions); });
    }

    // Ends a number of running tasks well, as their workers will tell with their next answers.
    void endTasks(std::size_t count)
    {
        while (count-- > 0 && !m_held.empty()) {
            const auto [task, worker] = *m_held.begin();
            m_held.erase(m_held.begin());
            m_rules.at(worker).taskEnded(task);
            m_ended[worker].push_back({task, decision::task_outcome::Succeeded});
        }
    }

private:
    void step(const ownership_event &event)
    {
        m_wantsRow = false;
        act([&](auto &actions) { m_control.step(event, m_now, actions); });
    }

    template<class Work>
    void act(Work work)
    {
        std::vector<runtime::control_action> actions;
        work(actions);
        while (!actions.empty()) {
            std::vector<runtime::control_action> next;
            for (const auto &action : actions)
                carryOut(action, next);
            actions = std::move(next);
        }
    }

    void carryOut(const runtime::control_action &action, std::vector<runtime::control_action> &next)
    {
        if (const auto *write = std::get_if<write_row>(&action)) {
            m_row = write->row;
            m_control.step(row_written {write->row.write, write_outcome::Applied}, m_now, next);
        } else if (const auto *load = std::get_if<runtime::load_jobs>(&action)) {
            m_control.jobsLoaded(load->authority, {}, m_now, next);
        } else if (const auto *order = std::get_if<worker_order>(&action)) {
            obey(*order, next);
        } else if (std::holds_alternative<read_row>(action)) {
            m_wantsRow = true;
        }
    }

    void obey(const worker_order &order, std::vector<runtime::control_action> &next)
    {
        backend::order_message message {"region/centre/rack", order, {}, {}};
        const auto worker = std::visit([](const auto &typed) { return typed.worker; }, order);
        const auto sent = boost::json::serialize(backend::orderToJson(message));
        backend::reply_message answer;
        answer.reply = m_rules.at(worker).step(order, m_now.time_since_epoch());
        answer.held.assign(answer.reply.running.size(), {1000, 1024, 0});
        answer.ended = std::move(m_ended[worker]);
        m_ended[worker].clear();
        if (const auto *started = std::get_if<start_order>(&order))
            m_held.emplace(started->task, worker);
        const auto told = boost::json::serialize(backend::replyToJson(answer));
        ++m_messages;
        m_bytes += sent.size() + told.size();
        auto read = backend::replyFromJson(boost::json::parse(told), worker);
        read->reply.askedAt = m_now;
        m_control.step(*read, m_now, next);
    }

    time_point m_now {std::chrono::hours(1)};
    runtime::group_control m_control;
    std::map<worker_id, backend::worker_order_handler> m_rules;
    std::map<worker_id, std::vector<backend::ended_task>> m_ended;
    std::map<task_id, worker_id> m_held;
    std::optional<group_row> m_row;
    bool m_wantsRow = false;
    std::uint64_t m_jobs = 0;
    std::size_t m_messages = 0;
    std::size_t m_bytes = 0;
};

inline group_cost measureGroup(std::uint32_t workers, std::uint32_t tasksEach)
{
    constexpr std::chrono::seconds idle {60};
    group_cost cost;
    const auto before = heapBytes();
    driven_group group(workers, tasksEach);
    cost.heap = heapBytes() - before;
    const auto messages = group.messages();
    const auto bytes = group.bytes();
    auto start = processorTime();
    group.advance(idle);
    cost.processorMicros = static_cast<double>((processorTime() - start).count()) / 1000 / 60;
    cost.messages = static_cast<double>(group.messages() - messages) / 60;
    cost.bytes = static_cast<double>(group.bytes() - bytes) / 60;
    // The same minute again with tasks that end and are replaced; the difference is theirs.
    const std::uint32_t turned = workers * 4;
    start = processorTime();
    for (int second = 0; second < 60; ++second) {
        group.endTasks(turned / 60 + 1);
        group.submit(turned / 60 + 1);
        group.advance(std::chrono::seconds(1));
    }
    const auto busy = static_cast<double>((processorTime() - start).count()) / 1000;
    const double tasks = 60.0 * (turned / 60 + 1);
    cost.microsPerTask = std::max(0.0, busy - cost.processorMicros * 60) / tasks;
    return cost;
}

} // namespace plantaingap::capacity

#endif

#ifndef PLANTAINGAP_BENCHMARKS_REQUEST_BASELINES_H
#define PLANTAINGAP_BENCHMARKS_REQUEST_BASELINES_H

#include "decision/request_scheduler.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>

// What the request scheduler is compared with.
namespace plantaingap::decision {

class request_policy
{
public:
    virtual ~request_policy() = default;
    virtual void step(const request_event &event, time_point now,
                      std::vector<request_action> &actions) = 0;
    virtual std::optional<time_point> nextDeadline() const { return std::nullopt; }
    virtual void expire(time_point, std::vector<request_action> &) { }
};

class scheduler_policy : public request_policy
{
public:
    explicit scheduler_policy(const request_limits &limits)
        : m_scheduler(limits)
    { }

    void step(const request_event &event, time_point now,
              std::vector<request_action> &actions) override
    {
        m_scheduler.step(event, now, actions);
    }

    std::optional<time_point> nextDeadline() const override { return m_scheduler.nextDeadline(); }

    void expire(time_point now, std::vector<request_action> &actions) override
    {
        m_scheduler.expire(now, actions);
    }

private:
    request_scheduler m_scheduler;
};

// Which queue a request goes to and which worker takes it.
struct baseline_rules
{
    std::size_t (*queueOf)(work_class declared);
    // True when a worker with this many free slots is to be preferred to the best so far.
    bool (*better)(std::uint32_t free, std::uint32_t best);
};

// Queues in order of priority, any free worker, dropped at the deadline, one repeated send.
class baseline_policy : public request_policy
{
public:
    explicit baseline_policy(const baseline_rules &rules)
        : m_rules(rules)
    { }

    void step(const request_event &event, time_point now,
              std::vector<request_action> &actions) override
    {
        std::visit([&](const auto &typed) { on(typed); }, event);
        dispatch(now, actions);
    }

private:
    struct sent
    {
        request_arrived arrival;
        worker_id worker {};
        std::uint32_t sends = 0;
    };

    void on(const worker_added &event) { m_free[event.worker] = event.slots; }
    void on(const worker_slots_confirmed &) { }
    void on(const worker_leaving &event) { m_free.erase(event.worker); }
    void on(const worker_removed &event) { m_free.erase(event.worker); }
    void on(const request_arrived &event) { push({event, {}, 0}); }
    void on(const request_cancelled &) { }

    void on(const request_ended &event)
    {
        const auto found = m_running.find(event.request);
        if (found == m_running.end())
            return;
        const auto request = found->second;
        m_running.erase(found);
        if (const auto free = m_free.find(request.worker); free != m_free.end())
            ++free->second;
        if (event.outcome == send_outcome::Unknown)
            push(request);
    }

    void push(const sent &request)
    {
        m_queues[m_rules.queueOf(request.arrival.declared)].push_back(request);
    }

    void dispatch(time_point now, std::vector<request_action> &actions)
    {
        for (auto &queue : m_queues) {
            while (!queue.empty()) {
                auto request = queue.front();
                if (request.arrival.deadline <= now || request.sends >= 2) {
                    queue.pop_front();
                    actions.emplace_back(
                        refuse_request {request.arrival.request, errc::DeadlinePassed, now});
                    continue;
                }
                const auto worker = pick();
                if (worker == m_free.end())
                    return;
                queue.pop_front();
                --worker->second;
                request.worker = worker->first;
                ++request.sends;
                m_running[request.arrival.request] = request;
                actions.emplace_back(send_request {request.arrival.request, request.worker});
            }
        }
    }

    std::map<worker_id, std::uint32_t>::iterator pick()
    {
        auto best = m_free.end();
        for (auto each = m_free.begin(); each != m_free.end(); ++each) {
            if (each->second > 0
                && m_rules.better(each->second, best == m_free.end() ? 0 : best->second))
                best = each;
        }
        return best;
    }

    baseline_rules m_rules;
    std::map<worker_id, std::uint32_t> m_free;
    std::unordered_map<request_id, sent> m_running;
    std::array<std::deque<sent>, 3> m_queues;
};

// One queue in order of arrival, first fit.
inline constexpr baseline_rules firstComeFirstFit = {
    [](work_class) -> std::size_t { return 0; },
    [](std::uint32_t, std::uint32_t best) { return best == 0; }};

// A queue per declared class, strict priority, the fullest worker that has room.
inline constexpr baseline_rules strictPriorityBestFit = {
    [](work_class declared) { return static_cast<std::size_t>(declared); },
    [](std::uint32_t free, std::uint32_t best) { return best == 0 || free < best; }};

inline std::unique_ptr<request_policy> makePolicy(const std::string &name,
                                                  const request_limits &limits)
{
    if (name == "fifo")
        return std::make_unique<baseline_policy>(firstComeFirstFit);
    if (name == "priority")
        return std::make_unique<baseline_policy>(strictPriorityBestFit);
    return std::make_unique<scheduler_policy>(limits);
}

} // namespace plantaingap::decision

#endif

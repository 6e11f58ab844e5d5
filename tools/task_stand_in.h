#ifndef PLANTAINGAP_TOOLS_TASK_STAND_IN_H
#define PLANTAINGAP_TOOLS_TASK_STAND_IN_H

#include "backend/order_codec.h"
#include "backend/worker_order_handler.h"
#include "support/http_message.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <map>
#include <optional>
#include <vector>

// The part of a worker stand-in that runs tasks: it obeys orders by the rules that a worker must
// keep, and lets each task end well after its run time. No process is started.
namespace plantaingap {

class task_stand_in
{
public:
    task_stand_in(worker_id worker, std::uint64_t boot)
        : m_worker(worker)
        , m_rules(worker, boot)
    { }

    // Answers POST /orders at this reading of the worker's own clock.
    support::http_response handle(const support::http_request &request, duration uptime,
                                  std::uint32_t busySlots)
    {
        namespace http = boost::beast::http;
        boost::system::error_code error;
        const auto document = boost::json::parse(request.body(), error);
        const auto message = error
                                 ? result<backend::order_message>(make_error_code(errc::Malformed))
                                 : backend::orderFromJson(document);
        if (message.has_error())
            return support::jsonResponse(http::status::bad_request, "{}");
        advance(uptime);
        for (const auto &task : message->acknowledged)
            std::erase_if(m_ended, [&](const auto &ended) { return ended.task == task; });
        backend::reply_message answer;
        answer.reply = m_rules.step(message->order, uptime);
        answer.reply.worker = m_worker;
        noteStart(*message, uptime);
        forgetStopped();
        for (const auto &task : answer.reply.running)
            answer.held.push_back(m_tasks[task].held);
        answer.ended = m_ended;
        answer.busySlots = busySlots;
        return support::jsonResponse(http::status::ok,
                                     boost::json::serialize(backend::replyToJson(answer)));
    }

    // Ends what has come due and stops what runs past its lease.
    void advance(duration uptime)
    {
        m_rules.expire(uptime);
        forgetStopped();
        for (auto at = m_tasks.begin(); at != m_tasks.end();) {
            if (at->second.endsAt > uptime) {
                ++at;
                continue;
            }
            m_rules.taskEnded(at->first);
            m_ended.push_back({at->first, decision::task_outcome::Succeeded});
            at = m_tasks.erase(at);
        }
    }

    // Tasks started here since the start of the worker.
    std::uint64_t starts() const { return m_starts; }
    const epoch &highest() const { return m_rules.highest(); }
    const std::set<task_id> &running() const { return m_rules.running(); }

private:
    struct run
    {
        resources held;
        duration endsAt = duration::max();
    };

    void noteStart(const backend::order_message &message, duration uptime)
    {
        const auto *order = std::get_if<start_order>(&message.order);
        if (!order || !m_rules.running().contains(order->task) || m_tasks.contains(order->task))
            return;
        ++m_starts;
        const auto runTime = runTimeOf(message.payload);
        const auto endsAt = runTime ? uptime + *runTime : duration::max();
        m_tasks[order->task] = {message.payload.held, endsAt};
    }

    // The command "run for N ms" ends after that time; without it the declared run time counts, and
    // a task without either runs until it is stopped.
    static std::optional<duration> runTimeOf(const backend::task_payload &payload)
    {
        long long span = 0;
        if (std::sscanf(payload.command.c_str(), "run for %lld ms", &span) == 1)
            return std::chrono::milliseconds(span);
        if (payload.runTime > duration::zero())
            return payload.runTime;
        return std::nullopt;
    }

    // The rules stop tasks on orders and lapses; what they no longer run is gone.
    void forgetStopped()
    {
        std::erase_if(m_tasks, [this](const auto &entry) {
            return !m_rules.running().contains(entry.first);
        });
    }

    worker_id m_worker;
    backend::worker_order_handler m_rules;
    std::map<task_id, run> m_tasks;
    std::vector<backend::ended_task> m_ended;
    std::uint64_t m_starts = 0;
};

} // namespace plantaingap

#endif

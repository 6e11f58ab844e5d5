#ifndef PLANTAINGAP_TESTS_REQUEST_RUN_H
#define PLANTAINGAP_TESTS_REQUEST_RUN_H

#include "decision/request_scheduler.h"

#include <functional>
#include <plantaingap/invariant.h>
#include <random>
#include <stdexcept>
#include <string>
#include <unordered_map>

// A random history of one group's requests, replayable from its seed, and a second account of what
// was sent where, kept by the test alone.
namespace plantaingap::decision {

struct broken_invariant : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// While it lives, a broken invariant is thrown.
class throwing_invariants
{
public:
    throwing_invariants()
    {
        invariantHandler = [](const char *name, const char *, int) {
            throw broken_invariant(name);
        };
    }
    ~throwing_invariants() { invariantHandler = abortOnInvariant; }
    throwing_invariants(const throwing_invariants &) = delete;
    throwing_invariants &operator=(const throwing_invariants &) = delete;
};

class request_run
{
public:
    explicit request_run(std::uint64_t seed)
        : m_scheduler(limits())
        , m_random(seed)
    { }

    // Throws broken_invariant when the scheduler, or the account, finds one broken.
    void play(int steps)
    {
        for (std::uint32_t id = 0; id < workers; ++id)
            addWorker(id);
        for (int each = 0; each < steps; ++each)
            playOne();
        drain();
    }

    std::size_t answered() const { return m_answered; }

private:
    static constexpr std::uint32_t workers = 12;
    static constexpr std::uint32_t slots = 3;

    struct accepted
    {
        bool idempotent = true;
        bool running = false;
        bool mayHaveRun = false;
        bool cancelled = false;
        std::uint32_t sends = 0;
        worker_id worker {};
        int stay = 0;
    };

    static request_limits limits()
    {
        request_limits tight;
        tight.queueLimit = 20;
        tight.maxSends = 3;
        tight.maxActionsPerStep = 4;
        return tight;
    }

    static void require(bool holds, const char *name)
    {
        if (!holds)
            throw broken_invariant(name);
    }

    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }

    void playOne()
    {
        m_now += std::chrono::milliseconds(below(60));
        const auto dice = below(100);
        if (dice < 45)
            arrive();
        else if (dice < 88)
            endOne(static_cast<send_outcome>(below(10) < 7 ? 0 : below(4)));
        else if (dice < 92)
            cancelOne();
        else if (dice < 95)
            step(
                worker_slots_confirmed {anyWorker(), static_cast<std::uint32_t>(below(slots + 2))});
        else if (dice < 97)
            step(worker_leaving {anyWorker()});
        else if (dice < 98)
            removeWorker(anyWorker());
        else
            addWorker(number(anyWorker()));
        expire();
    }

    worker_id anyWorker() { return worker_id {static_cast<std::uint32_t>(below(workers))}; }

    void addWorker(std::uint32_t id)
    {
        step(worker_added {worker_id {id}, service_id {id % 2}, rack_id {id / 4}, slots, 0});
    }

    void removeWorker(worker_id worker)
    {
        ++m_stays[worker];
        m_held[worker] = 0;
        step(worker_removed {worker});
    }

    void arrive()
    {
        const request_id id {++m_lastId};
        const bool idempotent = below(3) > 0;
        m_accepted[id] = {.idempotent = idempotent};
        step(request_arrived {
            id, service_id {static_cast<std::uint32_t>(below(2))},
            kind_id {static_cast<std::uint32_t>(below(5))}, static_cast<work_class>(below(3)),
            idempotent, m_now + std::chrono::milliseconds(below(4000)), caller_id {below(4)}});
    }

    request_id any()
    {
        auto chosen = m_accepted.begin();
        std::advance(chosen, static_cast<std::ptrdiff_t>(below(m_accepted.size())));
        return chosen->first;
    }

    void endOne(send_outcome outcome)
    {
        if (!m_accepted.empty())
            end(any(), outcome);
    }

    void end(request_id id, send_outcome outcome)
    {
        auto &request = m_accepted.at(id);
        if (!request.running)
            return;
        request.running = false;
        request.mayHaveRun |= outcome != send_outcome::NotRun;
        if (request.stay == m_stays[request.worker])
            --m_held[request.worker];
        const bool over = outcome == send_outcome::Completed || outcome == send_outcome::WorkerFailed
                          || request.cancelled;
        m_answered += over ? 1 : 0;
        if (over)
            m_accepted.erase(id);
        step(request_ended {id, outcome});
    }

    void cancelOne()
    {
        if (m_accepted.empty())
            return;
        const auto id = any();
        auto &request = m_accepted.at(id);
        if (request.running)
            request.cancelled = true;
        else
            m_accepted.erase(id);
        step(request_cancelled {id});
    }

    void step(const request_event &event)
    {
        m_scheduler.step(event, m_now, m_actions);
        take();
    }

    void expire()
    {
        for (auto next = m_scheduler.nextDeadline(); next && *next <= m_now;
             next = m_scheduler.nextDeadline()) {
            m_scheduler.expire(m_now, m_actions);
            take();
        }
    }

    void take()
    {
        for (const auto &action : m_actions)
            std::visit([&](const auto &typed) { check(typed); }, action);
        m_actions.clear();
        require(m_scheduler.waiting() + m_scheduler.running() == m_accepted.size(),
                "account differs from the scheduler");
    }

    void check(const send_request &action)
    {
        require(m_accepted.contains(action.request), "sent a request that is over");
        auto &request = m_accepted.at(action.request);
        require(!request.running, "sent twice at once");
        require(request.idempotent || !request.mayHaveRun, "non-idempotent sent again");
        require(!request.cancelled, "sent after it was cancelled");
        request.running = true;
        request.worker = action.worker;
        request.stay = m_stays[action.worker];
        require(++request.sends <= limits().maxSends, "sent too often");
        require(++m_held[action.worker] <= slots, "account: slots exceeded");
    }

    void check(const refuse_request &action)
    {
        require(m_accepted.contains(action.request), "refused a request that is over");
        const auto &request = m_accepted.at(action.request);
        require(!request.running, "refused while running");
        require((action.code == errc::OutcomeUnknown) == request.mayHaveRun,
                "a refusal is not honest");
        require(action.retryAt > m_now, "hint in the past");
        m_accepted.erase(action.request);
    }

    // All that was accepted comes to an end.
    void drain()
    {
        for (std::uint32_t id = 0; id < workers; ++id)
            addWorker(id);
        for (int round = 0; round < 2000 && !m_accepted.empty(); ++round) {
            m_now += std::chrono::milliseconds(50);
            endOne(send_outcome::Completed);
            expire();
        }
        require(m_accepted.empty(), "a request never ended");
    }

    request_scheduler m_scheduler;
    std::mt19937_64 m_random;
    std::map<request_id, accepted> m_accepted;
    std::unordered_map<worker_id, int> m_stays;
    std::unordered_map<worker_id, std::uint32_t> m_held;
    std::vector<request_action> m_actions;
    time_point m_now {std::chrono::hours(1)};
    std::uint64_t m_lastId = 0;
    std::size_t m_answered = 0;
};

} // namespace plantaingap::decision

#endif

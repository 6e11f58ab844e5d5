#ifndef PLANTAINGAP_TESTS_REQUEST_RUN_H
#define PLANTAINGAP_TESTS_REQUEST_RUN_H

#include "decision/request_scheduler.h"

#include <functional>
#include <plantaingap/invariant.h>
#include <random>
#include <stdexcept>
#include <string>
#include <unordered_map>

// Runs a random history of one group's requests, reproducible from its seed, and checks the actions
// against an independent model of the requests and slots.
namespace plantaingap::decision {

struct broken_invariant : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// Turns invariant violations into exceptions during its lifetime.
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

    // Throws broken_invariant when the scheduler or the model detects a violation.
    void play(int steps)
    {
        for (std::uint32_t id = 0; id < workers; ++id)
            addWorker(id);
        for (int i = 0; i < steps; ++i)
            doRandomStep();
        drain();
    }

    std::size_t completed() const { return m_completed; }

private:
    static constexpr std::uint32_t workers = 12;
    static constexpr std::uint32_t slots = 3;

    struct expected_request
    {
        bool idempotent = true;
        bool running = false;
        bool mayHaveRun = false;
        bool cancelled = false;
        std::uint32_t sends = 0;
        worker_id worker {};
        int registration = 0;
    };

    static request_limits limits()
    {
        request_limits result;
        result.queueLimit = 20;
        result.maxSends = 3;
        result.maxActionsPerStep = 4;
        return result;
    }

    static void require(bool holds, const char *name)
    {
        if (!holds)
            throw broken_invariant(name);
    }

    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }

    void doRandomStep()
    {
        m_now += std::chrono::milliseconds(below(60));
        const auto choice = below(100);
        if (choice < 45)
            arrive();
        else if (choice < 88)
            endRandomRequest(static_cast<send_outcome>(below(10) < 7 ? 0 : below(4)));
        else if (choice < 92)
            cancelRandomRequest();
        else if (choice < 95)
            step(worker_slots_confirmed {randomWorker(),
                                         static_cast<std::uint32_t>(below(slots + 2))});
        else if (choice < 97)
            step(worker_leaving {randomWorker()});
        else if (choice < 98)
            removeWorker(randomWorker());
        else
            addWorker(number(randomWorker()));
        expire();
    }

    worker_id randomWorker() { return worker_id {static_cast<std::uint32_t>(below(workers))}; }

    void addWorker(std::uint32_t id)
    {
        step(worker_added {worker_id {id}, service_id {id % 2}, rack_id {id / 4}, slots, 0});
    }

    void removeWorker(worker_id worker)
    {
        ++m_registrations[worker];
        m_usedSlots[worker] = 0;
        step(worker_removed {worker});
    }

    void arrive()
    {
        const request_id id {++m_lastId};
        const bool idempotent = below(3) > 0;
        m_expected[id] = {.idempotent = idempotent};
        step(request_arrived {
            id, service_id {static_cast<std::uint32_t>(below(2))},
            kind_id {static_cast<std::uint32_t>(below(5))}, static_cast<work_class>(below(3)),
            idempotent, m_now + std::chrono::milliseconds(below(4000)), caller_id {below(4)}});
    }

    request_id randomRequest()
    {
        auto chosen = m_expected.begin();
        std::advance(chosen, static_cast<std::ptrdiff_t>(below(m_expected.size())));
        return chosen->first;
    }

    void endRandomRequest(send_outcome outcome)
    {
        if (!m_expected.empty())
            end(randomRequest(), outcome);
    }

    void end(request_id id, send_outcome outcome)
    {
        auto &request = m_expected.at(id);
        if (!request.running)
            return;
        request.running = false;
        request.mayHaveRun |= outcome != send_outcome::NotRun;
        if (request.registration == m_registrations[request.worker])
            --m_usedSlots[request.worker];
        const bool finished = outcome == send_outcome::Completed
                              || outcome == send_outcome::WorkerFailed || request.cancelled;
        m_completed += finished ? 1 : 0;
        if (finished)
            m_expected.erase(id);
        step(request_ended {id, outcome});
    }

    void cancelRandomRequest()
    {
        if (m_expected.empty())
            return;
        const auto id = randomRequest();
        auto &request = m_expected.at(id);
        if (request.running)
            request.cancelled = true;
        else
            m_expected.erase(id);
        step(request_cancelled {id});
    }

    void step(const request_event &event)
    {
        m_scheduler.step(event, m_now, m_actions);
        checkActions();
    }

    void expire()
    {
        for (auto next = m_scheduler.nextDeadline(); next && *next <= m_now;
             next = m_scheduler.nextDeadline()) {
            m_scheduler.expire(m_now, m_actions);
            checkActions();
        }
    }

    void checkActions()
    {
        for (const auto &action : m_actions)
            std::visit([&](const auto &typed) { check(typed); }, action);
        m_actions.clear();
        require(m_scheduler.waiting() + m_scheduler.running() == m_expected.size(),
                "model differs from the scheduler");
    }

    void check(const send_request &action)
    {
        require(m_expected.contains(action.request), "sent a request that has ended");
        auto &request = m_expected.at(action.request);
        require(!request.running, "sent while running");
        require(request.idempotent || !request.mayHaveRun, "non-idempotent request resent");
        require(!request.cancelled, "sent after cancellation");
        request.running = true;
        request.worker = action.worker;
        request.registration = m_registrations[action.worker];
        require(++request.sends <= limits().maxSends, "sent more than maxSends times");
        require(++m_usedSlots[action.worker] <= slots, "model: slots exceeded");
    }

    void check(const refuse_request &action)
    {
        require(m_expected.contains(action.request), "refused a request that has ended");
        const auto &request = m_expected.at(action.request);
        require(!request.running, "refused while running");
        require((action.code == errc::OutcomeUnknown) == request.mayHaveRun,
                "refusal code contradicts whether the request may have run");
        require(action.retryAt > m_now, "retry time in the past");
        m_expected.erase(action.request);
    }

    // Checks that every accepted request ends.
    void drain()
    {
        for (std::uint32_t id = 0; id < workers; ++id)
            addWorker(id);
        for (int round = 0; round < 2000 && !m_expected.empty(); ++round) {
            m_now += std::chrono::milliseconds(50);
            endRandomRequest(send_outcome::Completed);
            expire();
        }
        require(m_expected.empty(), "a request never ended");
    }

    request_scheduler m_scheduler;
    std::mt19937_64 m_random;
    std::map<request_id, expected_request> m_expected;
    std::unordered_map<worker_id, int> m_registrations;
    std::unordered_map<worker_id, std::uint32_t> m_usedSlots;
    std::vector<request_action> m_actions;
    time_point m_now {std::chrono::hours(1)};
    std::uint64_t m_lastId = 0;
    std::size_t m_completed = 0;
};

} // namespace plantaingap::decision

#endif

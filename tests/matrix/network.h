#ifndef PLANTAINGAP_TESTS_MATRIX_NETWORK_H
#define PLANTAINGAP_TESTS_MATRIX_NETWORK_H

#include "matrix/fault.h"

#include <chrono>
#include <functional>
#include <queue>
#include <random>

namespace plantaingap::matrix {

using sim_time = std::chrono::nanoseconds;

// A simulated network in virtual time. Requests and replies may be lost, duplicated, delayed or
// reordered, and a hook is called for each phase that a call reaches.
class network
{
public:
    // Runs at the sender when the reply arrives.
    using reply_handler = std::function<void()>;
    // Runs at the receiver; returns an empty handler if no reply is sent.
    using delivery = std::function<reply_handler()>;
    using hook = std::function<void(step, phase, std::uint32_t sender)>;

    explicit network(std::uint64_t seed)
        : m_random(seed)
    { }

    sim_time now() const { return m_now; }
    std::uint64_t steps() const { return m_steps; }
    std::mt19937_64 &random() { return m_random; }

    void schedule(sim_time when, std::function<void()> run);

    // Runs all scheduled functions up to this time.
    void runUntil(sim_time end);

    // Runs onTimeout at the sender if no reply arrives within one second.
    void call(step reachedStep, std::uint32_t sender, delivery deliver,
              std::function<void()> onTimeout);

    void setPhaseHook(hook listener) { m_hook = std::move(listener); }

    // To be called from the phase hook: applies a message fault to the next message of the call.
    void setMessageFault(fault injected) { m_messageFault = injected; }

    sim_time drawDelay();

private:
    struct scheduled_function
    {
        sim_time when {};
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator>(const scheduled_function &other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    struct transmission
    {
        int copies = 1;
        sim_time delay {};
    };

    transmission planTransmission();

    sim_time m_now {};
    std::uint64_t m_order = 0;
    std::uint64_t m_steps = 0;
    std::priority_queue<scheduled_function, std::vector<scheduled_function>, std::greater<>>
        m_queue;
    std::mt19937_64 m_random;
    hook m_hook;
    std::optional<fault> m_messageFault;
};

} // namespace plantaingap::matrix

#endif

#ifndef PLANTAINGAP_TESTS_MATRIX_NETWORK_H
#define PLANTAINGAP_TESTS_MATRIX_NETWORK_H

#include "matrix/fault.h"

#include <chrono>
#include <functional>
#include <queue>
#include <random>

namespace plantaingap::matrix {

using sim_time = std::chrono::nanoseconds;

// A queue of messages in virtual time. Each call may be lost, doubled, delayed or reordered on its
// way or on the way back, and tells a hook of each phase that it comes to.
class network
{
public:
    // Runs at the sender when the answer arrives.
    using answer = std::function<void()>;
    // Runs at the receiver; gives nothing when no answer is sent.
    using delivery = std::function<answer()>;
    using hook = std::function<void(step, phase, std::uint32_t sender)>;

    explicit network(std::uint64_t seed)
        : m_random(seed)
    { }

    sim_time now() const { return m_now; }
    std::uint64_t steps() const { return m_steps; }
    std::mt19937_64 &random() { return m_random; }

    void at(sim_time when, std::function<void()> run);

    // Runs timed things until this time.
    void runUntil(sim_time end);

    // lost runs at the sender when no answer came within a second.
    void call(step what, std::uint32_t sender, delivery deliver, std::function<void()> lost);

    void onPhase(hook listener) { m_hook = std::move(listener); }

    // The next message of the call being told of suffers this.
    void disturb(fault what) { m_disturbance = what; }

    sim_time oneWay();

private:
    struct timed
    {
        sim_time when {};
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator>(const timed &other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    struct flight
    {
        int copies = 1;
        sim_time delay {};
    };

    flight travel();

    sim_time m_now {};
    std::uint64_t m_order = 0;
    std::uint64_t m_steps = 0;
    std::priority_queue<timed, std::vector<timed>, std::greater<>> m_queue;
    std::mt19937_64 m_random;
    hook m_hook;
    std::optional<fault> m_disturbance;
};

} // namespace plantaingap::matrix

#endif

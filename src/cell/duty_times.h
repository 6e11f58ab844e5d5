#ifndef PLANTAINGAP_CELL_DUTY_TIMES_H
#define PLANTAINGAP_CELL_DUTY_TIMES_H

#include "support/boot_time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <plantaingap/time.h>
#include <string_view>

namespace plantaingap::cell {

// What a leader spends the time of its event loop on. Reading and writing messages is not included.
enum class leader_duty : std::uint8_t {
    Passes,
    Submissions,
    Advice,
    Reports,
    StoreWrites,
    WorkerList,
    Configuration,
    Explanations,
    Heartbeats,
};
inline constexpr std::size_t leaderDuties = 9;

// The names of the duties in logs and metrics.
inline constexpr std::array<std::string_view, leaderDuties> dutyNames {
    "passes",      "submissions",   "advice",       "reports",   "store_writes",
    "worker_list", "configuration", "explanations", "heartbeats"};

// Time spent on each duty since the start of the term.
class duty_times
{
public:
    // Adds its lifetime to a duty. It must not live across a suspension of a coroutine.
    class scope
    {
    public:
        scope(duty_times &times, leader_duty duty)
            : m_times(times)
            , m_duty(duty)
            , m_start(support::bootNow())
        { }
        ~scope() { m_times.m_spent[static_cast<std::size_t>(m_duty)] += elapsed(); }
        scope(const scope &) = delete;
        scope &operator=(const scope &) = delete;

        duration elapsed() const { return support::bootNow() - m_start; }

    private:
        duty_times &m_times;
        leader_duty m_duty;
        time_point m_start;
    };

    const std::array<duration, leaderDuties> &spent() const { return m_spent; }

private:
    std::array<duration, leaderDuties> m_spent {};
};

} // namespace plantaingap::cell

#endif

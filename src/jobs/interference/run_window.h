#ifndef PLANTAINGAP_JOBS_INTERFERENCE_RUN_WINDOW_H
#define PLANTAINGAP_JOBS_INTERFERENCE_RUN_WINDOW_H

#include <cstdint>
#include <optional>
#include <plantaingap/time.h>

namespace plantaingap::jobs {

// A set of kinds of tasks by their numbers; see interference_model.
using kind_set = std::uint64_t;

// Time of a run in which the kinds beside it did not change.
struct run_span
{
    kind_set beside = 0;
    duration span {0};
    // Progress made in percent.
    std::uint32_t gained = 0;
};

// Joins the reports of one run into spans with unchanged neighbours. Reports give whole percents
// and come several times a second, so that a single interval tells little about a long run.
class run_window
{
public:
    // Drops what has been joined: the next report says nothing about the time before it.
    void restart() { m_open = false; }
    // Adds a report. Returns the joined span, and starts the next one, once it has at least that
    // progress and length.
    std::optional<run_span> add(kind_set beside, std::uint32_t percent, std::uint32_t minGained,
                                duration minSpan, time_point now);

private:
    void open(kind_set beside, std::uint32_t percent, time_point now);

    bool m_open = false;
    kind_set m_beside = 0;
    std::uint32_t m_percent = 0;
    time_point m_from {};
    time_point m_last {};
};

} // namespace plantaingap::jobs

#endif

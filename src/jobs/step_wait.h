#ifndef PLANTAINGAP_JOBS_STEP_WAIT_H
#define PLANTAINGAP_JOBS_STEP_WAIT_H

#include <cstdint>
#include <optional>
#include <plantaingap/time.h>
#include <string>
#include <string_view>

// Waits of steps for logs and metrics. No decision depends on them.
namespace plantaingap::jobs {

// What ended the last run of a step, of a gang the run of the member that ended first.
enum class run_end_cause : std::uint8_t {
    NeverStarted,
    // A member of the gang ended because another one had, which has not been reported yet.
    MemberEnded,
    // The start was refused or not answered, or other members did not start in time.
    NotStarted,
    // A start was withdrawn before it was ordered.
    Withdrawn,
    // Stopped because it made no progress or its worker was slow.
    Moved,
    // The lease of the worker expired, or the worker crashed, left or did not know the run.
    Lost,
    // The worker reported a failure.
    Failed,
};
inline constexpr std::size_t runEndCauses = 7;

// The name of a cause in logs and metrics.
std::string_view runEndName(run_end_cause cause);

// The wait of one step.
struct step_wait
{
    // As of the last observation: since when the step has been waiting with nothing running.
    std::optional<time_point> since;
    // When a line about the wait was last logged.
    time_point loggedAt {};
    // The last run of the step that ended in this term: why, when, the attempt, the index of its
    // task and its worker.
    run_end_cause lastEnd = run_end_cause::NeverStarted;
    time_point endedAt {};
    std::uint32_t endedAttempt = 0;
    std::uint32_t endedIndex = 0;
    std::string endedOn;
};

} // namespace plantaingap::jobs

#endif

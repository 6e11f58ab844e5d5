#include "cell/leader.h"
#include "support/log.h"

// The leader's log about jobs that wait.
namespace plantaingap::cell {

using support::log_event;
using support::log_level;

namespace {

// Jobs past their objective that are explained with each load log, one line each.
constexpr std::size_t overdueJobsLogged = 4;
// Jobs whose wait has passed a bound that are explained with each load log.
constexpr std::size_t waitingJobsLogged = 8;

} // namespace

void leader::logWaits(time_point now)
{
    const auto waits = m_scheduler.observeWaits(waitingJobsLogged, now);
    const auto log = [this](std::string_view event, const jobs::job_explanation &line) {
        log_event(log_level::Info, event)
            .field("partition", m_options.partition.index)
            .field("job", line.job)
            .field("why", line.why);
    };
    for (const auto &line : m_scheduler.explainOverdue(overdueJobsLogged, now))
        log("job.overdue", line);
    for (const auto &line : waits.jobs)
        log("job.waiting", line);
    if (waits.leftOut > 0) {
        log_event(log_level::Info, "job.waiting_suppressed")
            .field("partition", m_options.partition.index)
            .field("count", static_cast<std::uint64_t>(waits.leftOut));
    }
}

} // namespace plantaingap::cell

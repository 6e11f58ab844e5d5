#ifndef PLANTAINGAP_JOBS_SIZE_FIGURES_H
#define PLANTAINGAP_JOBS_SIZE_FIGURES_H

#include "jobs/job.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

// Counts what becomes of the jobs of a queue by their size. No decision depends on the counts.
namespace plantaingap::jobs {

class fleet;

// Size of a job as its caller declares it.
struct job_size
{
    std::uint32_t tasks = 0;
    // Whole workers that the widest gang needs; 0 without gangs, or if no worker is known that
    // holds one of its tasks.
    std::uint32_t wholeWorkers = 0;
    double coreSeconds = 0;
};

// Whole workers are counted in the first listed worker that may run the tasks of the step.
job_size sizeOf(const job_definition &job, const fleet &workers);

// Where the size of a job is among those of the recent submissions to its queue.
enum class size_band : std::uint8_t { LargestTenth, NextFifth, Rest };
inline constexpr std::size_t sizeBands = 3;

// The name of a band in logs and metrics.
std::string_view bandName(size_band band);

// Counts since the start of the term, of jobs that run once.
struct size_figures
{
    // Jobs submitted: a job that is submitted again after a refusal counts once while it is among
    // the recent ones.
    std::uint64_t submitted = 0;
    std::uint64_t accepted = 0;
    // Refusals; a job may be refused several times and then be accepted.
    std::uint64_t refused = 0;
    // Jobs accepted in this term that completed within their objective, and within three of them.
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    // Completed later than that, or failed.
    std::uint64_t withoutValue = 0;

    bool operator==(const size_figures &) const = default;
};

using figures_by_size = std::array<size_figures, sizeBands>;

// Divides jobs into bands by the sizes of the last submissions, whose number is bounded. The first
// submissions of a term are compared with few others.
class size_ranking
{
public:
    struct placement
    {
        size_band band = size_band::Rest;
        // Not among the recent submissions before.
        bool isNew = false;
    };

    // The band of a job, which becomes one of the recent submissions unless it is one.
    placement place(std::string_view job, double coreSeconds);
    std::size_t remembered() const { return m_recent.size(); }

    // Recent submissions that are remembered.
    static constexpr std::size_t capacity = 256;

private:
    struct submission
    {
        std::size_t jobHash = 0;
        double coreSeconds = 0;
    };
    // Oldest first.
    std::deque<submission> m_recent;
};

// The ranking and the counts of each queue.
class size_counter
{
public:
    // The band of a job that is submitted; counts the submission if it is new.
    size_band submitted(const std::string &queue, std::string_view job, double coreSeconds);
    size_figures &figuresOf(const std::string &queue, size_band band);

    // By the name of the queue.
    const std::map<std::string, figures_by_size, std::less<>> &figures() const { return m_figures; }

private:
    std::map<std::string, size_ranking, std::less<>> m_rankings;
    std::map<std::string, figures_by_size, std::less<>> m_figures;
};

} // namespace plantaingap::jobs

#endif

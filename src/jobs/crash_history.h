#ifndef PLANTAINGAP_JOBS_CRASH_HISTORY_H
#define PLANTAINGAP_JOBS_CRASH_HISTORY_H

#include <cstdint>
#include <vector>

// Crashes of workers while a task was at work there, as evidence against the task.
namespace plantaingap::jobs {

enum class crash_evidence : std::uint8_t {
    // The start was ordered, but other runs may have crashed the worker before it started this one.
    Unconfirmed = 0,
    // The task had been at work for a while, and others had just been started.
    Bystander = 1,
    // The task had been at work for a while or for a time that is not known, like all others.
    Beside = 2,
    // The worker was lost right after it started the task and others.
    Fresh = 3,
    // The worker was lost right after it started this task only.
    OnlyFresh = 4,
    // It was isolated: nothing else had just been started but tasks that are as strongly suspected.
    Alone = 5,
};

struct crash_record
{
    std::uint32_t attempt = 0;
    crash_evidence evidence = crash_evidence::Beside;

    bool operator==(const crash_record &) const = default;
};

// The crashes under one task. Several tasks are at work on a worker that crashes, and most have
// nothing to do with it. So a task is first suspected, which only means that it is isolated;
// it is given up when that start crashes its worker too. Tasks that crash workers later than at
// their start are given up by their number of crashes. Only crashes under a task that was certainly
// started count towards that.
class crash_history
{
public:
    // Crashes that others do not explain, and crashes of any kind, after which a task is given up.
    // Once three workers have crashed under a task the platform allows two starts more.
    static constexpr int maxCrashes = 3;
    static constexpr int maxCrashesBesideOthers = 5;

    // Each attempt counts once, with its strongest evidence. Returns false if nothing is new.
    bool add(std::uint32_t attempt, crash_evidence evidence);
    // The attempt is isolated: nothing has just been started on its worker, and nothing will be.
    void startAlone(std::uint32_t attempt) { m_aloneAttempt = attempt; }
    // A later attempt has run long enough to rule out that the task crashes workers at its start.
    void clear(std::uint32_t attempt);

    bool suspected() const;
    // Suspected by a crash right after the start of this task only.
    bool stronglySuspected() const;
    bool givenUp() const;

    const std::vector<crash_record> &records() const { return m_records; }
    std::uint32_t clearedAttempt() const { return m_clearedAttempt; }
    // The last attempt that was isolated; 0 for none.
    std::uint32_t aloneAttempt() const { return m_aloneAttempt; }

    bool operator==(const crash_history &) const = default;

private:
    // Crashes with that evidence or stronger under attempts after the given one.
    int countFrom(crash_evidence weakest, std::uint32_t afterAttempt) const;

    std::vector<crash_record> m_records;
    std::uint32_t m_clearedAttempt = 0;
    std::uint32_t m_aloneAttempt = 0;
};

} // namespace plantaingap::jobs

#endif

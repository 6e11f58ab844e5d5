#ifndef PLANTAINGAP_JOBS_DISPATCHER_H
#define PLANTAINGAP_JOBS_DISPATCHER_H

#include "jobs/job_scheduler.h"

#include <array>
#include <vector>

namespace plantaingap::jobs {

// One pass of placement: the order in which waiting steps get room, the workers that they get, and
// the advice that is asked for them. Load pattern that it answers: more work than room, in which
// short urgent steps must not wait behind wide ones, and wide gangs must still find their room.
class dispatcher
{
public:
    dispatcher(job_scheduler &owner, time_point now, scheduler_orders &orders);

    void run();

private:
    struct ready_step
    {
        step_run *step = nullptr;
        const queue_definition *queue = nullptr;
        int lateness = 0;
    };

    // Room for members of a gang.
    struct gang_slot
    {
        // Slow, or a member failed there.
        bool leastPreferred = false;
        std::uint32_t count = 0;
        worker *target = nullptr;
    };

    // A worker and how many tasks of a step can be hoped for there.
    struct advice_candidate
    {
        worker *target = nullptr;
        double tasks = 0;
        // A free choice among equals that differs from step to step.
        std::size_t tieBreaker = 0;
    };

    // Room for members of a gang from a moment on.
    struct capacity_release
    {
        time_point from {};
        std::uint32_t tasks = 0;
        worker *target = nullptr;
    };

    std::vector<ready_step> readySteps();
    void schedule(const ready_step &ready);
    void placeIndividually(const ready_step &ready);

    // Gangs.
    void scheduleGang(const ready_step &ready);
    bool placeGang(const ready_step &ready);
    void planGang(const ready_step &ready);
    std::vector<capacity_release> capacityReleases(const ready_step &ready) const;
    void addCapacityReleases(const ready_step &ready, worker &worker,
                             std::vector<capacity_release> &found) const;
    // Places and how many members each is to hold.
    using gang_assignment = std::vector<std::pair<worker *, std::uint32_t>>;
    void reserve(const ready_step &ready, const gang_assignment &assignment);
    void dropReservation(const step_run &step);
    // So much more room may be kept for gangs.
    bool canReserveMore(std::int64_t milliCores) const;

    // Advice.
    bool canRequestAdvice(const ready_step &ready) const;
    void requestAdviceForTasks(const ready_step &ready);
    void requestAdviceForGang(const ready_step &ready);
    bool renewTickets(const ready_step &ready);
    void requestAdviceForNewWorkers(const ready_step &ready);
    void requestAdvice(const ready_step &ready, const std::vector<advice_candidate> &found,
                       double wanted);
    static std::chrono::microseconds callDuration(const ready_step &ready, std::size_t workers);
    // Room that is there now, or also what will come free.
    enum class capacity_kind : std::uint8_t { Now, Later };
    std::vector<advice_candidate> adviceCandidates(const ready_step &ready, bool allowedBefore,
                                                   capacity_kind kind) const;

    bool eligible(const ready_step &ready, const worker &worker) const;
    const ticket *validTicket(const step_run &step, const worker &worker) const;
    // How many tasks of the step the worker has room for now, and when it is empty.
    std::uint32_t freeTaskSlots(const ready_step &ready, const worker &worker) const;
    static std::uint32_t totalTaskSlots(const ready_step &ready, const worker &worker);
    static std::uint32_t tasksOn(const step_run &step, const worker &worker);
    static bool stepFailedOn(const ready_step &ready, const worker &worker);
    // Room that a gang waits for and in which this step would be in its way.
    resources reservedForOthers(const ready_step &ready, const worker &worker) const;
    // The workers that the step may be placed on now, as far as rules and tickets go.
    std::vector<worker *> allowedWorkers(const ready_step &ready) const;
    worker *chooseWorker(const ready_step &ready, const std::vector<worker *> &workers) const;
    void assign(task_run &task, worker &worker, std::uint32_t attempt);

    job_scheduler &m_owner;
    time_point m_now;
    scheduler_orders &m_orders;
    // No instance is free for calls of that class; none becomes free during a pass.
    std::array<bool, advisor_call_router::callClassCount> m_callClassBusy {};
    std::vector<worker *> m_usableWorkers;
    resources m_usableCapacity;
    resources m_reservedCapacity;
};

} // namespace plantaingap::jobs

#endif

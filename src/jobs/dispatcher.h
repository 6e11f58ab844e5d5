#ifndef PLANTAINGAP_JOBS_DISPATCHER_H
#define PLANTAINGAP_JOBS_DISPATCHER_H

#include "jobs/job_scheduler.h"

#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace plantaingap::jobs {

// One placement pass: orders the waiting steps, chooses workers for them and requests advice. It
// targets a fleet with more work than capacity, where short urgent steps must not wait behind wide
// ones and wide gangs must still get capacity.
class dispatcher
{
public:
    dispatcher(job_scheduler &scheduler, time_point now, scheduler_orders &orders);

    void run();

private:
    struct ready_step
    {
        step_run *step = nullptr;
        const queue_definition *queue = nullptr;
        int lateness = 0;
        // All tasks that wait are suspected, or the gang is.
        bool isolated = false;
        // All of them are strongly suspected, so they come last.
        bool stronglySuspected = false;
        // Tasks of its kind fail on most workers, so it gets probes last; never set for gangs.
        bool failing = false;
        // Examined in this pass whatever goes before it.
        bool due = false;
        // Its workspace uses more than its part of the fleet.
        bool overShare = false;
    };

    // Slots for gang members on one worker.
    struct gang_slot
    {
        // The worker is slow, or a run of the step failed there.
        bool leastPreferred = false;
        // A run there is of a kind that is kept apart from the gang.
        bool interfering = false;
        std::uint32_t count = 0;
        worker *target = nullptr;
    };

    // A worker and the number of tasks of a step that are expected to be placed there.
    struct advice_candidate
    {
        worker *target = nullptr;
        double tasks = 0;
        // Orders equal candidates differently for each job.
        std::size_t tieBreaker = 0;
    };

    // Slots for gang members that become free on a worker at a point in time.
    struct capacity_release
    {
        time_point from {};
        std::uint32_t tasks = 0;
        worker *target = nullptr;
    };

    std::vector<ready_step> readySteps();
    // Marks the steps to examine beyond the first ones.
    void chooseDue(std::vector<ready_step> &ready) const;
    // Whether a delay of the step would change what others may do.
    bool mustExamine(const ready_step &ready) const;
    // Moves the overdue gang to the front, if there is one.
    void prioritizeOverdueGang(std::vector<ready_step> &ready);
    // Whether others lose little by capacity that idles for a gang.
    bool fleetHasRoom() const;
    std::vector<worker *> knownWorkers(const ready_step &ready) const;
    // Whether the allowed workers could hold all members once their runs have ended.
    bool couldHoldGang(const ready_step &ready) const;
    void schedule(const ready_step &ready);
    // Workspaces.
    // Sums up the unidentified runs and lets waiting gangs claim room within the limits.
    void prepareLimits(const std::vector<ready_step> &ready);
    // Marks the steps of workspaces that use more than their part of the fleet.
    void markOverShare(std::vector<ready_step> &ready) const;
    // Tasks of the step that its workspace's limit lets start now, at most `wanted`.
    std::uint32_t withinLimit(const ready_step &ready, std::uint32_t wanted) const;
    static bool beyondShare(const step_run &step);
    // Limits the probes that may be placed for kinds that fail.
    void countProbes();
    // Whether a step may be placed on a worker that is quarantined.
    bool mayUseQuarantined(const ready_step &ready, const worker &worker) const;
    // Whether the quarantine of workers is no reason to keep the step from them.
    bool overridesQuarantine(const ready_step &ready) const;
    bool hasSoundWorker(const ready_step &ready) const;
    // The worker is reachable, and its quarantine, if any, does not keep the step from it now.
    bool isAvailable(const ready_step &ready, const worker &worker) const;
    bool isFailing(const step_run &step) const;
    // Lets failing steps, in turn, probe the quarantined workers that others have left free.
    void scheduleFailing(std::vector<const ready_step *> failing);
    void placeIndividually(const ready_step &ready);

    // Gangs.
    void scheduleGang(const ready_step &ready);
    bool placeGang(const ready_step &ready);
    // Order in which gangs claim capacity: by priority and acceptance.
    using claim_order = std::pair<int, time_point>;
    static claim_order claimOrder(const ready_step &ready);
    // Cores, in thousandths, that the claim of a gang takes.
    static std::int64_t claimOf(const step_run &gang);
    // Plans the gangs whose plan is due, in the order in which they may claim capacity.
    void planGangs();
    void planGang(const ready_step &ready, bool mayClaim);
    // Keeps the claim of a gang on its workers. Returns false if it no longer stands: a worker is
    // gone, or its runs take longer than planned.
    bool renewClaim(const ready_step &ready);
    // Whether allowed workers, its own or unclaimed ones, have room for all members now.
    bool hasRoomElsewhere(const ready_step &ready) const;
    // When the worker has that capacity free; none if its runs do not leave it.
    std::optional<time_point> freeAt(const worker &worker, const resources &wanted) const;
    // Expected end of a run, not before now.
    time_point runEnd(const task_run &run) const;
    std::vector<capacity_release> capacityReleases(const ready_step &ready) const;
    void addCapacityReleases(const ready_step &ready, worker &worker,
                             std::vector<capacity_release> &found) const;
    // Workers with the number of gang members placed on each.
    using gang_assignment = std::vector<std::pair<worker *, std::uint32_t>>;
    void reserve(const ready_step &ready, const gang_assignment &assignment);
    void dropReservation(const step_run &step);
    // Whether the total reserved for gangs may grow by that much.
    bool canReserveMore(std::int64_t milliCores) const;

    // Suspected tasks.
    void prepareIsolation(const std::vector<ready_step> &ready);
    bool mayIsolateGang(std::size_t workers) const;
    // Core-microseconds of work that a crash of the worker would lose. A lost member loses its
    // gang.
    std::int64_t workAtRisk(const worker &worker) const;
    // Whether one more suspected step may use one of the sites for which no other step has advice.
    bool mayRequestIsolation(const ready_step &ready);
    void placeIsolated(const ready_step &ready, task_run &task,
                       const std::vector<worker *> &workers);
    worker *isolationSite(const ready_step &ready, const std::vector<worker *> &workers) const;
    bool startTogether(const ready_step &ready) const;
    // A machine at that address crashed under the step.
    static bool stepCrashedAt(const ready_step &ready, const worker &worker);
    // Whether a suspected task of the step may start there.
    bool suitsIsolation(const ready_step &ready, const worker &worker) const;

    // Advice.
    bool canRequestAdvice(const ready_step &ready) const;
    void requestAdviceForTasks(const ready_step &ready);
    void requestAdviceForGang(const ready_step &ready);
    void requestAdviceAhead(const ready_step &next);
    bool renewTickets(const ready_step &ready);
    void requestAdviceForNewWorkers(const ready_step &ready);
    void requestAdvice(const ready_step &ready, const std::vector<advice_candidate> &found,
                       double wanted);
    static std::chrono::microseconds callDuration(const ready_step &ready, std::size_t workers);
    // Capacity that is free now, or also an estimate of what becomes free later.
    enum class capacity_kind : std::uint8_t { Now, Later };
    std::vector<advice_candidate> adviceCandidates(const ready_step &ready, bool allowedBefore,
                                                   capacity_kind kind) const;

    bool eligible(const ready_step &ready, const worker &worker) const;
    const ticket *validTicket(const step_run &step, const worker &worker) const;
    // Number of tasks of the step that fit on the worker now, and on the worker when it is empty.
    std::uint32_t freeTaskSlots(const ready_step &ready, const worker &worker) const;
    static std::uint32_t totalTaskSlots(const ready_step &ready, const worker &worker);
    static std::uint32_t tasksOn(const step_run &step, const worker &worker);
    static bool stepFailedOn(const ready_step &ready, const worker &worker);
    // Capacity reserved for a gang that the step would delay.
    resources reservedForOthers(const ready_step &ready, const worker &worker) const;
    // Workers on which the step may be placed now by placement rules and valid tickets; capacity is
    // not checked.
    std::vector<worker *> allowedWorkers(const ready_step &ready) const;
    // Whether a run there is of one of the kinds.
    bool hasRunOf(kind_set kinds, const worker &worker) const;
    worker *chooseWorker(const ready_step &ready, const std::vector<worker *> &workers) const;
    void assign(task_run &task, worker &worker, std::uint32_t attempt);

    job_scheduler &m_scheduler;
    time_point m_now;
    scheduler_orders &m_orders;
    // Call classes for which no instance is available; none becomes available during a pass.
    std::array<bool, advisor_call_router::callClassCount> m_callClassBusy {};
    // Gangs whose turn comes once tasks end that are at work.
    std::vector<ready_step> m_nextGangs;
    std::vector<worker *> m_workers;
    // Those to which orders can be sent, quarantined or not.
    std::vector<worker *> m_reachableWorkers;
    resources m_usableCapacity;
    // Some of the reachable workers are quarantined, so they take probes.
    bool m_takesProbes = false;
    // By service and label: whether a reachable worker is not quarantined.
    mutable std::map<std::pair<std::string, std::string>, bool> m_soundKinds;
    // Probes that failing steps may still be given, and whether their turn has come.
    std::size_t m_failingProbesLeft = 0;
    bool m_failingMayProbe = false;
    // Workers on which suspected tasks are at work or which they took down, and their limit.
    std::size_t m_isolationSites = 0;
    std::size_t m_maxIsolationSites = 0;
    // Suspected steps that hold or await advice for a site.
    std::size_t m_isolationAdvice = 0;
    // Strongly suspected tasks that wait, and those placed in this pass on each worker.
    std::size_t m_waitingStrongSuspects = 0;
    std::map<const worker *, std::size_t> m_strongSuspectsPlaced;
    // Gangs whose plan is to be made in this pass.
    std::vector<ready_step> m_gangsToPlan;
    // The first gang in that order that found no share of the capacity left to claim.
    claim_order m_firstWithoutShare {3, time_point::max()};
    // Free capacity of workers with runs that nothing names: it may be in use by any workspace.
    resources m_unidentified;
    resources m_reservedCapacity;
    // The gang that is longest overdue. It goes first, may use capacity that is reserved for others
    // and may claim beyond the share.
    const step_run *m_overdueGang = nullptr;
};

} // namespace plantaingap::jobs

#endif

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
    struct candidate
    {
        step_run *step = nullptr;
        const queue_definition *queue = nullptr;
        int band = 0;
    };

    // Room for members of a gang.
    struct gang_place
    {
        // Slow, or a member failed there.
        bool poor = false;
        std::uint32_t count = 0;
        worker *at = nullptr;
    };

    // A worker and how many tasks of a step can be hoped for there.
    struct prospect
    {
        worker *at = nullptr;
        double tasks = 0;
        // A free choice among equals that differs from step to step.
        std::size_t mix = 0;
    };

    // Room for members of a gang from a moment on.
    struct opening
    {
        time_point from {};
        std::uint32_t tasks = 0;
        worker *at = nullptr;
    };

    std::vector<candidate> readySteps();
    void serve(const candidate &one);
    void placeSingly(const candidate &one);

    // Gangs.
    void serveGang(const candidate &one);
    bool placeGang(const candidate &one);
    void planGang(const candidate &one);
    std::vector<opening> openings(const candidate &one) const;
    void addOpenings(const candidate &one, worker &at, std::vector<opening> &found) const;
    // Places and how many members each is to hold.
    using gang_places = std::vector<std::pair<worker *, std::uint32_t>>;
    void reserve(const candidate &one, const gang_places &places);
    void dropReservation(const step_run &step);
    // So much more room may be kept for gangs.
    bool mayReserveMore(std::int64_t milliCores) const;

    // Advice.
    bool mayAsk(const candidate &one) const;
    void askForRoom(const candidate &one);
    void askForGang(const candidate &one);
    bool renewTickets(const candidate &one);
    void discover(const candidate &one);
    void ask(const candidate &one, const std::vector<prospect> &found, double wanted);
    static std::chrono::microseconds lengthOfCall(const candidate &one, std::size_t workers);
    // Room that is there now, or also what will come free.
    enum class room_kind : std::uint8_t { Now, Later };
    std::vector<prospect> prospects(const candidate &one, bool known, room_kind kind) const;

    bool eligible(const candidate &one, const worker &at) const;
    const ticket *validTicket(const step_run &step, const worker &at) const;
    // How many tasks of the step the worker has room for now, and when it is empty.
    std::uint32_t room(const candidate &one, const worker &at) const;
    static std::uint32_t emptyRoom(const candidate &one, const worker &at);
    static std::uint32_t tasksOn(const step_run &step, const worker &at);
    static bool failedThere(const candidate &one, const worker &at);
    // Room that a gang waits for and in which this step would be in its way.
    resources keptForOther(const candidate &one, const worker &at) const;
    // The workers that the step may be placed on now, as far as rules and tickets go.
    std::vector<worker *> allowed(const candidate &one) const;
    worker *choose(const candidate &one, const std::vector<worker *> &among) const;
    void assign(task_run &task, worker &at, std::uint32_t attempt);

    job_scheduler &m_owner;
    time_point m_now;
    scheduler_orders &m_orders;
    // No instance is free for calls of that class; none becomes free during a pass.
    std::array<bool, advisor_call_router::callClasses> m_callersBusy {};
    std::vector<worker *> m_usable;
    resources m_usableRoom;
    resources m_reservedRoom;
};

} // namespace plantaingap::jobs

#endif

#include "task_fixture.h"

#include <doctest/doctest.h>
#include <set>
#include <string>

using namespace plantaingap;
using namespace plantaingap::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr resources Worker {8'000, 16'384, 2};
constexpr resources Half {4'000, 8'192, 0};
constexpr resources Core {1'000, 1'024, 0};

job_submitted makeUrgentJob(std::uint64_t id, std::uint32_t tasks, const resources &perTask)
{
    auto job = makeJob(id, job_kind::Batch, tasks, perTask, 9);
    job.urgency = job_urgency::Urgent;
    return job;
}

// Acknowledges checkpoint and stop orders until no more are emitted.
void acknowledgeStops(task_fixture &group)
{
    for (bool pending = true; pending;) {
        const auto checkpoints = group.all<checkpoint_task>();
        const auto stops = group.all<stop_task>();
        std::erase_if(group.actions, [](const auto &action) {
            return std::holds_alternative<checkpoint_task>(action)
                   || std::holds_alternative<stop_task>(action);
        });
        for (const auto &save : checkpoints)
            group.send(task_checkpointed {save.task});
        for (const auto &stop : stops)
            group.send(task_ended {stop.task, task_outcome::Stopped});
        pending = !checkpoints.empty() || !stops.empty();
    }
}

} // namespace

TEST_CASE("copies of a service are spread over racks")
{
    task_fixture group;
    group.addWorkers(8, Worker, 2);
    auto job = makeJob(1, job_kind::Service, 4, Core);
    job.spread = spread_rule::Racks;
    group.send(job);
    std::set<std::uint32_t> racks;
    for (const auto &start : group.all<start_task>())
        racks.insert(number(start.worker) / 2);
    CHECK(racks.size() == 4);
}

TEST_CASE("copies of a service are moved off a draining worker a few at a time")
{
    task_fixture group;
    group.addWorkers(1, Worker);
    group.send(makeJob(1, job_kind::Service, 4, Core));
    const auto starts = group.confirmStarts();
    group.addWorkers(1, Worker);
    group.send(worker_draining {starts[0].worker, group.now + seconds(60)});
    CHECK(group.count<stop_task>() == 1);
    for (int copies = 0; copies < 4; ++copies) {
        acknowledgeStops(group);
        group.advance(seconds(1));
        for (const auto &start : group.confirmStarts())
            CHECK(start.worker != starts[0].worker);
        group.advance(seconds(1));
    }
    CHECK(group.count<stop_task>() == 0);
    CHECK(group.scheduler.used() == Core * 4);
}

TEST_CASE("an urgent job of several tasks starts as soon as the preempted tasks have ended")
{
    for (const bool checkpointable : {true, false}) {
        CAPTURE(checkpointable);
        task_fixture group;
        group.addWorkers(2, Worker);
        auto batch = makeJob(1, job_kind::Batch, 16, Core);
        batch.checkpointable = checkpointable;
        group.send(batch);
        CHECK(group.confirmStarts().size() == 16);
        group.send(makeUrgentJob(2, 4, Half));
        CHECK(group.count<checkpoint_task>() == (checkpointable ? 16 : 0));
        CHECK(group.count<stop_task>() == (checkpointable ? 0 : 16));
        // Without task_checkpointed the stops are sent at the checkpoint timeout.
        group.advance(milliseconds(700));
        CHECK(group.count<stop_task>() == 16);
        acknowledgeStops(group);
        CHECK(group.count<start_task>() == 4);
    }
}

TEST_CASE("the task that loses the least work is preempted")
{
    task_fixture group;
    group.addWorkers(2, Worker);
    group.send(makeJob(1, job_kind::Batch, 1, Worker, 1));
    group.advance(seconds(100));
    group.send(makeJob(2, job_kind::Batch, 1, Worker, 2));
    group.confirmStarts();
    group.send(makeUrgentJob(3, 1, Half));
    REQUIRE(group.count<stop_task>() == 1);
    CHECK(group.all<stop_task>()[0].task.job == job_id {2});
}

TEST_CASE("batch tasks backfill the reservation of an all-or-nothing job")
{
    task_fixture group;
    group.addWorkers(2, Worker);
    group.send(makeJob(1, job_kind::Batch, 2, Half, 1));
    group.send(makeJob(2, job_kind::Service, 1, Half, 2));
    auto held = group.confirmStarts();
    REQUIRE(held.size() == 3);
    group.send(makeJob(3, job_kind::AllOrNothing, 3, Half, 3));
    CHECK(group.scheduler.explainWait(job_id {3}).reason == wait_reason::Reserved);
    auto backfill = makeJob(4, job_kind::Batch, 1, Half, 4);
    backfill.checkpointable = true;
    group.send(backfill);
    group.advance(seconds(1));
    CHECK(group.confirmStarts().size() <= 1);
    group.send(task_ended {held[0].task, task_outcome::Succeeded});
    group.send(task_ended {held[1].task, task_outcome::Succeeded});
    for (int turn = 0; turn < 20; ++turn) {
        group.advance(milliseconds(100));
        acknowledgeStops(group);
    }
    std::size_t gangStarts = 0;
    for (const auto &start : group.all<start_task>())
        gangStarts += start.task.job == job_id {3} ? 1 : 0;
    CHECK(gangStarts == 3);
}

TEST_CASE("two all-or-nothing jobs that each need most of the group run one after the other")
{
    task_fixture group;
    group.addWorkers(4, Worker);
    group.send(makeJob(1, job_kind::Batch, 4, Worker, 1));
    const auto first = group.confirmStarts();
    group.send(makeJob(2, job_kind::AllOrNothing, 3, Worker, 2));
    group.send(makeJob(3, job_kind::AllOrNothing, 3, Worker, 3));
    for (const auto &start : first)
        group.send(task_ended {start.task, task_outcome::Succeeded});
    for (int turn = 0; turn < 2; ++turn) {
        group.advance(seconds(2));
        const auto starts = group.confirmStarts();
        CHECK(starts.size() == 3);
        for (const auto &start : starts)
            group.send(task_ended {start.task, task_outcome::Succeeded});
    }
    CHECK(group.scheduler.jobs() == 0);
}

TEST_CASE("a team reclaims its quota once and is not preempted in turn")
{
    struct row
    {
        std::string name;
        bool checkpointable;
        seconds within;
    };
    const std::vector<row> rows = {
        {"checkpointable tasks are preempted soon", true, seconds(120)},
        {"other tasks are preempted after minBorrowedRunTime", false, seconds(600)},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        task_fixture group;
        group.addWorkers(2, Worker);
        group.send(quota_changed {team_id {1}, Worker});
        group.send(quota_changed {team_id {2}, Worker});
        auto borrower = makeJob(1, job_kind::Batch, 16, Core, 1);
        borrower.checkpointable = row.checkpointable;
        group.send(borrower);
        group.confirmStarts();
        group.advance(seconds(60));
        group.send(makeJob(2, job_kind::Batch, 16, Core, 2));
        std::size_t stops = 0;
        for (seconds passed {}; passed < row.within; passed += seconds(1)) {
            group.advance(seconds(1));
            stops += group.count<stop_task>() + group.count<checkpoint_task>();
            acknowledgeStops(group);
            group.confirmStarts();
        }
        CHECK(stops == 8);
        CHECK(group.scheduler.dominantShare(team_id {1}) == 1'000'000);
        CHECK(group.scheduler.dominantShare(team_id {2}) == 1'000'000);
    }
}

TEST_CASE("a job that can never run is rejected at once with the reason")
{
    struct row
    {
        std::string name;
        job_kind kind;
        std::uint32_t tasks;
        resources perTask;
        spread_rule spread;
        bool rejected;
        reject_reason reason;
    };
    using enum reject_reason;
    const std::vector<row> rows = {
        {"too many processors", job_kind::Batch, 1, {9'000, 1, 0}, {}, true, TooManyProcessors},
        {"too much memory", job_kind::Batch, 1, {1, 20'000, 0}, {}, true, TooMuchMemory},
        {"too many accelerators", job_kind::Batch, 1, {1, 1, 3}, {}, true, TooManyAccelerators},
        {"too many at once", job_kind::AllOrNothing, 5, Worker, {}, true, TooManyTasks},
        {"too many for a rack", job_kind::AllOrNothing, 3, Worker, spread_rule::SingleRack, true,
         TooManyTasks},
        {"as many as there are", job_kind::AllOrNothing, 4, Worker, {}, false, {}},
        {"more batch tasks than fit at once only wait", job_kind::Batch, 50, Worker, {}, false, {}},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        task_fixture group;
        group.addWorkers(4, Worker, 2);
        auto job = makeJob(1, row.kind, row.tasks, row.perTask);
        job.spread = row.spread;
        group.send(job);
        const auto rejected = group.all<reject_job>();
        REQUIRE(rejected.size() == (row.rejected ? 1 : 0));
        if (row.rejected)
            CHECK(rejected[0].reasons.at(0).reason == row.reason);
    }
}

TEST_CASE("a worker that fails every job is quarantined, probed and released")
{
    task_fixture group;
    group.addWorkers(8, Worker);
    for (std::uint64_t id = 1; id <= 8; ++id)
        group.send(makeJob(id, job_kind::Batch, 20, Half, 1));
    const auto bad = worker_id {0};
    for (int second = 0; second < 9; ++second) {
        for (const auto &start : group.confirmStarts())
            group.send(task_ended {start.task, start.worker == bad ? task_outcome::Failed
                                                                   : task_outcome::Succeeded});
        if (group.count<quarantine_worker>() > 0)
            break;
    }
    REQUIRE(group.count<quarantine_worker>() == 1);
    CHECK(group.all<quarantine_worker>()[0].worker == bad);
    bool probed = false;
    for (int second = 0; second < 30 && !probed; ++second) {
        group.advance(seconds(1));
        const auto starts = group.confirmStarts();
        for (const auto &start : starts) {
            probed = probed || start.worker == bad;
            if (start.worker == bad)
                group.send(task_ended {start.task, task_outcome::Succeeded});
        }
    }
    CHECK(probed);
    CHECK(group.count<release_worker>() == 1);
}

TEST_CASE("a job that fails on every worker fails without quarantining them")
{
    task_fixture group;
    group.addWorkers(8, Worker);
    group.send(makeJob(1, job_kind::Batch, 4, Worker));
    std::vector<finish_job> finished;
    for (int second = 0; second < 200 && finished.empty(); ++second) {
        for (const auto &start : group.confirmStarts())
            group.send(task_ended {start.task, task_outcome::Failed});
        acknowledgeStops(group);
        finished = group.all<finish_job>();
        group.advance(seconds(1));
        CHECK(group.count<quarantine_worker>() == 0);
    }
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].outcome == job_outcome::Failed);
}

TEST_CASE("delayed usage reports lower and raise limits before a task is stopped")
{
    task_fixture group;
    group.addWorkers(1, Worker);
    group.send(makeJob(1, job_kind::Batch, 1, Worker));
    const auto task = group.confirmStarts().at(0).task;
    const auto report = [&](const resources &used) {
        group.advance(seconds(30));
        group.send(usage_reported {worker_id {0}, {{task, used}}, group.now - seconds(30)});
    };
    for (int times = 0; times < 5; ++times)
        report({1'000, 2'048, 0});
    REQUIRE(group.count<throttle_task>() >= 1);
    CHECK(group.scheduler.used().milliCores < Half.milliCores);
    CHECK(group.scheduler.used().memoryMib < Half.memoryMib);
    report({1'330, 2'700, 0});
    CHECK(group.scheduler.used().milliCores == Worker.milliCores);
    CHECK(group.count<stop_task>() == 0);
    report({8'000, 20'000, 0});
    CHECK(group.count<stop_task>() == 0);
    report({8'000, 20'000, 0});
    CHECK(group.count<stop_task>() == 0);
    report({8'000, 20'000, 0});
    CHECK(group.count<stop_task>() == 1);
}

TEST_CASE("cancelling a job with many tasks takes bounded steps")
{
    task_fixture group;
    group.addWorkers(200, Worker);
    group.send(makeJob(1, job_kind::Batch, 10'000, {100, 100, 0}));
    group.advance(seconds(2));
    const auto started = group.confirmStarts().size();
    REQUIRE(started == 10'000);
    CHECK(group.send(job_cancelled {job_id {1}}).size() <= group.limits.maxOrdersPerStep);
    group.advance(milliseconds(1));
    CHECK(group.count<stop_task>() == started);
}

TEST_CASE("many cancelled jobs are deferred and stopped in bounded steps")
{
    task_fixture group;
    group.addWorkers(1, Worker);
    for (std::uint64_t id = 1; id <= 1'000; ++id)
        group.send(makeJob(id, job_kind::Batch, 1, Worker));
    std::size_t atOnce = 0;
    for (std::uint64_t id = 1; id <= 1'000; ++id)
        atOnce += group.send(job_cancelled {job_id {id}}).size();
    CHECK(atOnce <= 16);
    while (group.scheduler.nextDeadline() && *group.scheduler.nextDeadline() <= group.now) {
        std::vector<task_action> newActions;
        group.scheduler.expire(group.now, newActions);
        CHECK(newActions.size() <= 2 * group.limits.maxOrdersPerStep);
        group.actions.insert(group.actions.end(), newActions.begin(), newActions.end());
    }
    acknowledgeStops(group);
    CHECK(group.scheduler.jobs() == 0);
}

TEST_CASE("a new owner adopts running tasks and starts others only when all workers are confirmed")
{
    task_fixture group;
    const worker_id first {0};
    const worker_id second {1};
    for (const auto worker : {first, second})
        group.send(worker_joined {worker, {}, {}, {}, {}, Worker});
    auto job = makeJob(1, job_kind::Batch, 2, Half);
    job.origin = job_origin::Recovered;
    job.attemptFloor = 10;
    group.send(job);
    group.send(worker_confirmed {first, {{{job_id {1}, 0, 4}, Half}}});
    group.advance(seconds(60));
    CHECK(group.count<start_task>() == 0);
    CHECK(group.scheduler.explainWait(job_id {1}).reason == wait_reason::WorkersUnconfirmed);
    group.send(worker_confirmed {second, {}});
    group.advance(seconds(1));
    REQUIRE(group.count<start_task>() == 1);
    CHECK(group.all<start_task>()[0].task == task_id {job_id {1}, 1, 11});
    CHECK(group.scheduler.used() == Half * 2);
}

TEST_CASE("tasks without accelerators leave capacity for free ones while jobs wait for them")
{
    task_fixture group;
    group.addWorkers(1, Worker);
    group.send(makeJob(1, job_kind::Service, 1, {1'000, 1'024, 1}, 1));
    group.send(makeJob(2, job_kind::Batch, 1, {1'000, 1'024, 2}, 2));
    group.confirmStarts();
    group.send(makeJob(3, job_kind::Batch, 8, Core, 3));
    // One accelerator is free: half of its even share, two of the eight cores, stays free for it.
    CHECK(group.count<start_task>() == 5);
}

TEST_CASE("dead workers no longer count towards the quarantine limit")
{
    task_fixture group;
    group.addWorkers(4, Worker);
    for (std::uint64_t id = 1; id <= 40; ++id)
        group.send(makeJob(id, job_kind::Batch, 40, Worker, 1));
    std::size_t quarantined = 0;
    for (int turn = 0; turn < 60; ++turn) {
        group.advance(seconds(10));
        // All tasks on the worker that joined last fail.
        const worker_id bad {static_cast<std::uint32_t>(3 + quarantined)};
        for (const auto &start : group.confirmStarts()) {
            const bool fails = start.worker == bad;
            group.send(
                task_ended {start.task, fails ? task_outcome::Failed : task_outcome::Succeeded});
        }
        for (const auto &quarantine : group.all<quarantine_worker>()) {
            ++quarantined;
            group.send(worker_dead {quarantine.worker});
            group.addWorkers(1, Worker);
        }
    }
    CHECK(quarantined >= 3);
}

namespace {

struct lost_worker_row
{
    const char *name;
    job_kind kind;
    // Time from the start to the loss of the worker, and whether it was draining.
    milliseconds runsFor;
    bool draining;
    // Most starts while ten workers are lost one after the other, and the end of the job.
    std::size_t starts;
    bool fails;
};

const lost_worker_row lostWorkers[] = {
    {"a batch task", job_kind::Batch, milliseconds(10), false, 3, true},
    {"a member of a gang", job_kind::AllOrNothing, milliseconds(10), false, 3, true},
    {"a task that had been at work for long", job_kind::Batch, seconds(60), false, 10, false},
    {"a task on workers that were draining", job_kind::Batch, milliseconds(10), true, 10, false},
};

} // namespace

TEST_CASE("a task that crashes worker after worker is given up")
{
    for (const auto &row : lostWorkers) {
        CAPTURE(std::string(row.name));
        task_fixture group;
        group.addWorkers(1, Worker);
        group.send(makeJob(1, row.kind, 1, Worker));
        std::size_t starts = 0;
        std::size_t failures = 0;
        for (int i = 0; i < 10; ++i) {
            const auto started = group.confirmStarts();
            starts += started.size();
            if (started.empty())
                break;
            group.advance(row.runsFor);
            if (row.draining)
                group.send(worker_draining {started[0].worker, group.now + seconds(60)});
            group.send(worker_lost {started[0].worker});
            group.advance(seconds(5));
            group.send(worker_dead {started[0].worker});
            for (const auto &ended : group.all<finish_job>())
                failures += ended.outcome == job_outcome::Failed ? 1 : 0;
            group.addWorkers(1, Worker);
            group.advance(seconds(5));
        }
        CHECK(starts == row.starts);
        CHECK(failures == (row.fails ? 1 : 0));
    }
}

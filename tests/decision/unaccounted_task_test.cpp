#include "task_fixture.h"

#include <doctest/doctest.h>
#include <string>

using namespace plantaingap;
using namespace plantaingap::decision;
using std::chrono::seconds;

namespace {

constexpr worker_id reporter {0};
constexpr resources half {4'000, 8'192, 1};
constexpr resources whole = half * 2;

struct report_case
{
    std::string name;
    running_task reported;
};

struct end_case
{
    std::string name;
    // The last event makes room; until then nothing may start.
    std::vector<task_event> events;
    std::size_t stops;
};

std::vector<report_case> reportCases()
{
    return {
        {"a task of an unknown job", {{job_id {9}, 0, 1}, whole}},
        {"an index that the job does not have", {{job_id {1}, 7, 1}, whole}},
        {"more than the worker has room for", {{job_id {1}, 0, 1}, whole * 2}},
    };
}

std::vector<end_case> endCases(const running_task &reported)
{
    const worker_joined joined {reporter, {}, {}, {}, {}, whole};
    const worker_confirmed again {reporter, {reported}};
    const worker_confirmed empty {reporter, {}};
    const task_confirmed_stopped stopped {reported.task};
    return {
        {"it is confirmed stopped", {stopped}, 1},
        {"it is reported again, and the stop repeated", {again, stopped}, 2},
        {"it is listed twice in one report",
         {worker_confirmed {reporter, {reported, reported}}, stopped},
         3},
        {"it ends by itself", {task_ended {reported.task, task_outcome::Succeeded}}, 1},
        {"the worker reports without it", {empty}, 1},
        {"the worker is lost and reports without it", {worker_lost {reporter}, empty}, 1},
        {"the worker leaves and another comes", {worker_dead {reporter}, joined, empty}, 1},
    };
}

} // namespace

// Guards against starts beside a reported task that no job accounts for while it is being stopped.
TEST_CASE("nothing starts in the capacity of a reported task that is being stopped")
{
    for (const auto &report : reportCases()) {
        for (const auto &end : endCases(report.reported)) {
            CAPTURE(report.name);
            CAPTURE(end.name);
            task_fixture group;
            group.send(worker_joined {reporter, {}, {}, {}, {}, whole});
            group.send(makeJob(1, job_kind::Batch, 1, whole));
            group.send(worker_confirmed {reporter, {report.reported}});
            for (const auto &event : end.events) {
                group.advance(seconds(1));
                CHECK(group.count<start_task>() == 0);
                CHECK(group.scheduler.consistent());
                group.send(event);
            }
            CHECK(group.count<stop_task>() == end.stops);
            CHECK(group.count<start_task>() == 1);
            CHECK(group.scheduler.consistent());
        }
    }
}

// Guards against counting more than the reported task holds, which would leave capacity unused.
TEST_CASE("what a reported task that is being stopped leaves free is used")
{
    task_fixture group;
    group.send(worker_joined {reporter, {}, {}, {}, {}, whole});
    group.send(makeJob(1, job_kind::Batch, 2, half));
    const running_task reported {{job_id {9}, 0, 1}, half};
    group.send(worker_confirmed {reporter, {reported}});
    group.advance(seconds(1));
    CHECK(group.count<start_task>() == 1);
    group.send(task_confirmed_stopped {reported.task});
    CHECK(group.count<start_task>() == 2);
}

// Guards against a replacement that starts before the rest of the same report is counted.
TEST_CASE("a task that a report ends is not replaced beside a task that the report adds")
{
    task_fixture group;
    group.addWorkers(1, whole);
    group.send(makeJob(1, job_kind::Service, 1, whole));
    REQUIRE(group.confirmStarts().size() == 1);
    group.advance(group.limits.startWindow + seconds(1));
    const running_task reported {{job_id {9}, 0, 1}, whole};
    group.send(worker_confirmed {reporter, {reported}});
    group.advance(seconds(1));
    CHECK(group.count<start_task>() == 0);
    group.send(task_confirmed_stopped {reported.task});
    CHECK(group.count<start_task>() == 1);
}

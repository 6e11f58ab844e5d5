#include "task_fixture.h"

#include <doctest/doctest.h>
#include <string>

using namespace plantaingap;
using namespace plantaingap::decision;

namespace {

constexpr resources Small {16'000, 32'768, 0};
constexpr resources Quarter {4'000, 8'192, 0};

struct end_row
{
    std::string name;
    job_kind kind;
    task_outcome outcome;
    // Starts within ten seconds of the end, and finished jobs.
    std::size_t starts;
    std::size_t finished;
};

} // namespace

TEST_CASE("the end of a task decides whether it is started again")
{
    const std::vector<end_row> rows = {
        {"a batch task that succeeds is done", job_kind::Batch, task_outcome::Succeeded, 0, 1},
        {"a batch task that fails is retried", job_kind::Batch, task_outcome::Failed, 1, 0},
        {"a batch task that never ran is started", job_kind::Batch, task_outcome::NotStarted, 1, 0},
        {"a copy of a service is replaced", job_kind::Service, task_outcome::Succeeded, 1, 0},
        {"a copy that fails is replaced", job_kind::Service, task_outcome::Failed, 1, 0},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        task_fixture group;
        group.addWorkers(2, Small);
        group.send(someJob(1, row.kind, 1, Quarter));
        const auto starts = group.runStarted();
        REQUIRE(starts.size() == 1);
        group.send(task_ended {starts[0].task, row.outcome});
        group.pass(std::chrono::seconds(10));
        CHECK(group.count<start_task>() == row.starts);
        CHECK(group.count<finish_job>() == row.finished);
    }
}

TEST_CASE("nothing is placed on a worker before it has answered")
{
    task_fixture group;
    group.send(worker_joined {worker_id {1}, {}, {}, {}, {}, Small});
    group.send(someJob(1, job_kind::Batch, 1, Quarter));
    group.pass(std::chrono::seconds(1));
    CHECK(group.count<start_task>() == 0);
    group.send(worker_confirmed {worker_id {1}, {}});
    CHECK(group.count<start_task>() == 1);
}

TEST_CASE("a task of a lost worker is started elsewhere only when it certainly does not run")
{
    task_fixture probe;
    probe.addWorkers(2, Small);
    probe.send(someJob(1, job_kind::Batch, 1, Small));
    const auto first = probe.runStarted().at(0);
    const std::vector<std::pair<std::string, task_event>> proofs = {
        {"the worker is dead", worker_dead {first.worker}},
        {"the worker answers without it", worker_confirmed {first.worker, {}}},
        {"it is confirmed stopped", task_confirmed_stopped {first.task}},
    };
    for (const auto &[name, proof] : proofs) {
        CAPTURE(name);
        task_fixture group;
        group.addWorkers(2, Small);
        group.send(someJob(1, job_kind::Batch, 1, Small));
        group.runStarted();
        group.send(worker_lost {first.worker});
        group.pass(std::chrono::seconds(60));
        CHECK(group.count<start_task>() == 0);
        group.send(proof);
        group.pass(std::chrono::seconds(1));
        CHECK(group.count<start_task>() == 1);
    }
}

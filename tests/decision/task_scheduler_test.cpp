#include "task_fixture.h"

#include <doctest/doctest.h>
#include <string>

using namespace plantaingap;
using namespace plantaingap::decision;

namespace {

constexpr resources Small {16'000, 32'768, 0};
constexpr resources Quarter {4'000, 8'192, 0};

struct end_case
{
    std::string name;
    job_kind kind;
    task_outcome outcome;
    // Expected starts within ten seconds of the end, and finished jobs.
    std::size_t starts;
    std::size_t finished;
};

} // namespace

TEST_CASE("the outcome of a task decides whether it is restarted")
{
    const std::vector<end_case> rows = {
        {"a batch task that succeeds is done", job_kind::Batch, task_outcome::Succeeded, 0, 1},
        {"a batch task that fails is retried", job_kind::Batch, task_outcome::Failed, 1, 0},
        {"a batch task that never ran is restarted", job_kind::Batch, task_outcome::NotStarted, 1,
         0},
        {"a service copy that succeeds is replaced", job_kind::Service, task_outcome::Succeeded, 1,
         0},
        {"a service copy that fails is replaced", job_kind::Service, task_outcome::Failed, 1, 0},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        task_fixture group;
        group.addWorkers(2, Small);
        group.send(makeJob(1, row.kind, 1, Quarter));
        const auto starts = group.confirmStarts();
        REQUIRE(starts.size() == 1);
        group.send(task_ended {starts[0].task, row.outcome});
        group.advance(std::chrono::seconds(10));
        CHECK(group.count<start_task>() == row.starts);
        CHECK(group.count<finish_job>() == row.finished);
    }
}

TEST_CASE("no task is placed on an unconfirmed worker")
{
    task_fixture group;
    group.send(worker_joined {worker_id {1}, {}, {}, {}, {}, Small});
    group.send(makeJob(1, job_kind::Batch, 1, Quarter));
    group.advance(std::chrono::seconds(1));
    CHECK(group.count<start_task>() == 0);
    group.send(worker_confirmed {worker_id {1}, {}});
    CHECK(group.count<start_task>() == 1);
}

TEST_CASE("a task of a lost worker is restarted only once it is known to have stopped")
{
    task_fixture reference;
    reference.addWorkers(2, Small);
    reference.send(makeJob(1, job_kind::Batch, 1, Small));
    const auto first = reference.confirmStarts().at(0);
    const std::vector<std::pair<std::string, task_event>> proofs = {
        {"the worker is dead", worker_dead {first.worker}},
        {"the worker reports without it", worker_confirmed {first.worker, {}}},
        {"it is confirmed stopped", task_confirmed_stopped {first.task}},
    };
    for (const auto &[name, proof] : proofs) {
        CAPTURE(name);
        task_fixture group;
        group.addWorkers(2, Small);
        group.send(makeJob(1, job_kind::Batch, 1, Small));
        group.confirmStarts();
        group.send(worker_lost {first.worker});
        group.advance(std::chrono::seconds(60));
        CHECK(group.count<start_task>() == 0);
        group.send(proof);
        group.advance(std::chrono::seconds(1));
        CHECK(group.count<start_task>() == 1);
    }
}

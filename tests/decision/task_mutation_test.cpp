// Each guard of the task scheduler is removed in turn, and some check has to go red. The switches
// are compiled in the preset mutations only.
#ifdef PLANTAINGAP_MUTATIONS

#include "task_model.h"

#include <doctest/doctest.h>
#include <plantaingap/mutation.h>
#include <random>

using namespace plantaingap;
using namespace plantaingap::decision;
using std::chrono::seconds;

namespace {

constexpr resources Worker {8'000, 16'384, 2};

// The first promise that random runs find broken.
std::string randomRuns()
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        std::mt19937_64 random(seed);
        try {
            task_model model;
            for (int at = 0; at < 400; ++at) {
                const auto bits = random();
                model.apply({static_cast<std::uint8_t>(bits), static_cast<std::uint16_t>(bits >> 8),
                             static_cast<std::uint16_t>(bits >> 24)});
            }
        } catch (const std::runtime_error &broken) {
            return std::string("random runs: ") + broken.what();
        }
    }
    return {};
}

// A recovered job must wait for every worker that may run it.
std::string takeover()
{
    task_fixture group;
    for (const std::uint32_t id : {0U, 1U})
        group.send(worker_joined {worker_id {id}, {}, {}, {}, {}, Worker});
    auto job = someJob(1, job_kind::Batch, 1, Worker);
    job.origin = job_origin::Recovered;
    group.send(job);
    try {
        group.send(worker_confirmed {worker_id {0}, {}});
    } catch (const std::runtime_error &broken) {
        return broken.what();
    }
    return group.count<start_task>() == 0 ? "" : "takeover: started before all have answered";
}

// Teams within their quotas must not take from each other.
std::string quotas()
{
    task_fixture group;
    group.addWorkers(1, Worker);
    for (const std::uint32_t team : {1U, 2U}) {
        group.send(quota_changed {team_id {team}, Worker});
        auto job = someJob(team, job_kind::Batch, 1, Worker, team);
        job.checkpointable = true;
        group.send(job);
    }
    group.runStarted();
    group.pass(seconds(120));
    return group.count<checkpoint_task>() == 0 ? ""
                                               : "quotas: a team within its quota was preempted";
}

// A worker that fails one job after the other must get no more of them.
std::string badWorker()
{
    task_fixture group;
    group.addWorkers(8, Worker);
    for (std::uint64_t id = 1; id <= 8; ++id)
        group.send(someJob(id, job_kind::Batch, 20, Worker, 1));
    for (int turn = 0; turn < 9; ++turn) {
        for (const auto &start : group.runStarted()) {
            const bool bad = start.worker == worker_id {0};
            group.send(
                task_ended {start.task, bad ? task_outcome::Failed : task_outcome::Succeeded});
        }
        if (group.count<quarantine_worker>() > 0)
            return {};
    }
    return "bad worker: was never quarantined";
}

struct row
{
    std::string_view mutation;
    std::string (*check)();
};

constexpr row Rows[] = {
    {"tasks.skip_capacity_check", randomRuns}, {"tasks.skip_team_release", randomRuns},
    {"tasks.place_unconfirmed", randomRuns},   {"tasks.accept_stale_attempt", randomRuns},
    {"tasks.lose_task_state", randomRuns},     {"tasks.start_part_of_job", randomRuns},
    {"tasks.restart_uncertain", randomRuns},   {"tasks.skip_barrier", takeover},
    {"tasks.preempt_within_quota", quotas},    {"tasks.never_quarantine", badWorker},
};

} // namespace

TEST_CASE("each mutation of the task scheduler is caught")
{
    for (const auto &row : Rows) {
        CAPTURE(std::string(row.mutation));
        activeMutation = "";
        CHECK(row.check() == "");
        activeMutation = row.mutation;
        const auto caught = row.check();
        activeMutation = "";
        CHECK(caught != "");
        MESSAGE(std::string(row.mutation) << " -> " << caught);
    }
}

#endif

// Disables each guard of the task scheduler in turn and expects a check to fail. The switches are
// only compiled in the preset mutations.
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

// First invariant violated by random runs; empty if none is.
std::string runRandomSteps()
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        std::mt19937_64 random(seed);
        try {
            task_model model;
            for (int step = 0; step < 400; ++step) {
                const auto bits = random();
                model.apply({static_cast<std::uint8_t>(bits), static_cast<std::uint16_t>(bits >> 8),
                             static_cast<std::uint16_t>(bits >> 24)});
            }
        } catch (const std::runtime_error &violation) {
            return std::string("random runs: ") + violation.what();
        }
    }
    return {};
}

// A recovered job must not start before every worker that may be running it is confirmed.
std::string checkTakeover()
{
    task_fixture group;
    for (const std::uint32_t id : {0U, 1U})
        group.send(worker_joined {worker_id {id}, {}, {}, {}, {}, Worker});
    auto job = makeJob(1, job_kind::Batch, 1, Worker);
    job.origin = job_origin::Recovered;
    group.send(job);
    try {
        group.send(worker_confirmed {worker_id {0}, {}});
    } catch (const std::runtime_error &violation) {
        return violation.what();
    }
    return group.count<start_task>() == 0 ? ""
                                          : "takeover: started before all workers were confirmed";
}

// Teams within their quotas must not preempt each other.
std::string checkQuotas()
{
    task_fixture group;
    group.addWorkers(1, Worker);
    for (const std::uint32_t team : {1U, 2U}) {
        group.send(quota_changed {team_id {team}, Worker});
        auto job = makeJob(team, job_kind::Batch, 1, Worker, team);
        job.checkpointable = true;
        group.send(job);
    }
    group.confirmStarts();
    group.advance(seconds(120));
    return group.count<checkpoint_task>() == 0 ? ""
                                               : "quotas: a team within its quota was preempted";
}

// A worker that fails several jobs in a row must be quarantined.
std::string checkFailingWorker()
{
    task_fixture group;
    group.addWorkers(8, Worker);
    for (std::uint64_t id = 1; id <= 8; ++id)
        group.send(makeJob(id, job_kind::Batch, 20, Worker, 1));
    for (int turn = 0; turn < 9; ++turn) {
        for (const auto &start : group.confirmStarts()) {
            const bool bad = start.worker == worker_id {0};
            group.send(
                task_ended {start.task, bad ? task_outcome::Failed : task_outcome::Succeeded});
        }
        if (group.count<quarantine_worker>() > 0)
            return {};
    }
    return "failing worker: was never quarantined";
}

// Nothing may start in the capacity of a reported task that no job accounts for.
std::string checkUnaccounted()
{
    task_fixture group;
    group.send(worker_joined {worker_id {0}, {}, {}, {}, {}, Worker});
    group.send(makeJob(1, job_kind::Batch, 1, Worker));
    try {
        group.send(worker_confirmed {worker_id {0}, {{{job_id {9}, 0, 1}, Worker}}});
    } catch (const std::runtime_error &violation) {
        return violation.what();
    }
    return group.count<start_task>() == 0 ? "" : "unaccounted: started beside a reported task";
}

struct mutation_case
{
    std::string_view mutation;
    std::string (*check)();
};

constexpr mutation_case Rows[] = {
    {"tasks.skip_capacity_check", runRandomSteps}, {"tasks.skip_team_release", runRandomSteps},
    {"tasks.place_unconfirmed", runRandomSteps},   {"tasks.accept_stale_attempt", runRandomSteps},
    {"tasks.lose_task_state", runRandomSteps},     {"tasks.start_part_of_job", runRandomSteps},
    {"tasks.restart_uncertain", runRandomSteps},   {"tasks.skip_barrier", checkTakeover},
    {"tasks.preempt_within_quota", checkQuotas},   {"tasks.never_quarantine", checkFailingWorker},
    {"tasks.skip_unaccounted", checkUnaccounted},  {"tasks.skip_unaccounted", runRandomSteps},
};

} // namespace

TEST_CASE("each mutation of the task scheduler is detected")
{
    for (const auto &mutation_case : Rows) {
        CAPTURE(std::string(mutation_case.mutation));
        activeMutation = "";
        CHECK(mutation_case.check() == "");
        activeMutation = mutation_case.mutation;
        const auto caught = mutation_case.check();
        activeMutation = "";
        CHECK(caught != "");
        MESSAGE(std::string(mutation_case.mutation) << " -> " << caught);
    }
}

#endif

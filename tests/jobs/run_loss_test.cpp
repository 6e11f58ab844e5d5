#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::run_loss_cause;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

struct loss_row
{
    const char *name;
    void (*lose)(scheduler_world &world, jobs::worker &known);
    run_loss_cause cause;
    std::uint64_t crashes;
};

void replace(scheduler_world &world, jobs::worker &known)
{
    jobs::worker_report report;
    report.otherIncarnation = true;
    world.scheduler.onReport(known.entry.id, report, world.now(), world.now());
}

const loss_row rows[] = {
    {"another worker responds at the address", replace, run_loss_cause::WorkerCrashed, 1},
    {"another worker responds at the address of one that was draining",
     [](scheduler_world &world, jobs::worker &known) {
         world.fleet[known.entry.id].entry.draining = true;
         world.list();
         replace(world, known);
     },
     run_loss_cause::WorkerLeft, 0},
    {"the worker starts again under its id",
     [](scheduler_world &world, jobs::worker &known) {
         world.crash(known.entry.id);
         world.renewLease(known.entry.id);
     },
     run_loss_cause::WorkerCrashed, 1},
    {"the lease of a silent worker expires",
     [](scheduler_world &world, jobs::worker &known) {
         world.fleet[known.entry.id].reachable = false;
         world.advance(milliseconds(7500));
     },
     run_loss_cause::LeaseExpired, 0},
    {"a worker that did not crash no longer reports the run",
     [](scheduler_world &world, jobs::worker &known) {
         world.fleet[known.entry.id].active.clear();
         world.elapsed += milliseconds(100);
         world.renewLease(known.entry.id);
         // It may be stopping the run.
         CHECK(known.used.milliCores == 4000);
         world.elapsed += jobs::scheduler_options {}.maxStopTime - milliseconds(1);
         world.renewLease(known.entry.id);
         CHECK(known.used.milliCores == 4000);
         world.elapsed += milliseconds(50);
         world.renewLease(known.entry.id);
         CHECK(known.used.milliCores == 0);
     },
     run_loss_cause::NotReported, 0},
};

} // namespace

TEST_CASE("The cause of a lost run is recorded")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        scheduler_world world(1);
        world.begin();
        world.submit("00000000000000a1", "quick", {scheduler_world::step(1, 4000)});
        world.settle();
        world.elapsed += milliseconds(100);
        REQUIRE(world.running() == 1);
        row.lose(world, *world.scheduler.workers().find("w0"));
        const auto &losses = world.scheduler.runLosses();
        for (std::size_t cause = 0; cause < jobs::runLossCauses; ++cause)
            CHECK(losses[cause] == (cause == static_cast<std::size_t>(row.cause) ? 1 : 0));
        CHECK(world.scheduler.workerCrashes() == row.crashes);
    }
}

#include "matrix/cells.h"

#include "matrix/config_world.h"
#include "matrix/coordination_world.h"
#include "matrix/membership_world.h"
#include "matrix/store_world.h"

#include <cstdio>

namespace plantaingap::matrix {

namespace {

const std::vector<fault> allFaults = {fault::Crash,
                                      fault::PausePastLease,
                                      fault::PausePastGrace,
                                      fault::Lost,
                                      fault::Duplicated,
                                      fault::Delayed,
                                      fault::Reordered,
                                      fault::StoreUnavailable,
                                      fault::StoreReplyLost,
                                      fault::StoreSlow,
                                      fault::ClockDriftAtBound,
                                      fault::ConcurrentActor,
                                      fault::WorkerFailsAll,
                                      fault::MassCancellation,
                                      fault::WorkerRestart,
                                      fault::CutFromPeers,
                                      fault::CutFromWorkers,
                                      fault::CutFromStore,
                                      fault::CutFromOneWorker};

template<class World>
cell_result runWorld(const cell &matrixCell)
{
    World world(matrixCell.seed);
    return world.run(matrixCell);
}

const std::vector<protocol> all = {
    {"ownership and leases",
     {"first claim", "steady", "takeover after a crash", "takeover after a pause",
      "planned handover", "takeover while the store is unavailable",
      "owner isolated from peers and store", "cancellations",
      "only the previous owner reaches a worker", "a worker of a crashed owner is unreachable",
      "the owner loses contact with a worker", "replies of a worker are lost",
      "a successor reaches only one worker", "a worker restarts and loses its epoch"},
     {step::TableRead, step::TableWrite, step::Query, step::Renew, step::Start, step::Stop,
      step::Heartbeat},
     allFaults,
     {fault::Crash, fault::PausePastLease, fault::StoreUnavailable, fault::StoreReplyLost,
      fault::WorkerRestart, fault::CutFromPeers, fault::CutFromWorkers, fault::CutFromStore},
     1,
     1,
     runWorld<coordination_world>},
    {"active configuration",
     {"one operator at a time", "concurrent operators", "start while the store is unavailable"},
     {step::HeadRead, step::HeadWrite, step::AuditWrite, step::Fetch, step::Heartbeat},
     {fault::Crash, fault::PausePastLease, fault::Lost, fault::Duplicated, fault::Delayed,
      fault::Reordered, fault::StoreUnavailable, fault::StoreReplyLost, fault::ConcurrentActor,
      fault::CutFromPeers, fault::CutFromStore},
     {fault::Crash, fault::PausePastLease, fault::StoreUnavailable, fault::StoreReplyLost,
      fault::ConcurrentActor, fault::CutFromPeers, fault::CutFromStore},
     20,
     7,
     runWorld<config_world>},
    {"durable writes and non-idempotent requests",
     {"repeats at once", "repeats later"},
     {step::Commit, step::ReadBack, step::RequestSend},
     {fault::Crash, fault::PausePastLease, fault::Lost, fault::Duplicated, fault::Delayed,
      fault::Reordered, fault::StoreUnavailable, fault::StoreReplyLost, fault::StoreSlow,
      fault::CutFromStore},
     {fault::Crash, fault::PausePastLease, fault::StoreUnavailable, fault::StoreReplyLost,
      fault::StoreSlow, fault::CutFromStore},
     20,
     7,
     runWorld<store_world>},
    {"membership and leaving workers",
     {"a worker leaves", "planned stop of an instance"},
     {step::Heartbeat, step::ListRead},
     {fault::Crash, fault::PausePastLease, fault::Lost, fault::Duplicated, fault::Delayed,
      fault::Reordered, fault::CutFromPeers},
     {fault::Crash, fault::PausePastLease, fault::CutFromPeers},
     60,
     3,
     runWorld<membership_world>},
};

void addPairs(const protocol &tested, const cell &single, std::vector<cell> &cells)
{
    for (const fault second : tested.secondFaults) {
        cell pair = single;
        pair.second = second;
        pair.seed = cells.size() + 1;
        cells.push_back(pair);
    }
}

} // namespace

std::span<const protocol> protocols()
{
    return all;
}

std::vector<cell> enumerateCells(const protocol &tested)
{
    std::vector<cell> cells;
    for (const char *scenario : tested.scenarios) {
        for (const step atStep : tested.steps) {
            for (const auto atPhase : {phase::BeforeSend, phase::SentNotApplied,
                                       phase::AppliedNotReplied, phase::Replied}) {
                for (const fault injected : tested.faults) {
                    for (std::uint32_t nth = 1; nth <= tested.maxOccurrence;
                         nth += tested.occurrenceStride)
                        cells.push_back(
                            {scenario, {injected, atStep, atPhase, nth}, {}, cells.size() + 1});
                }
            }
        }
    }
    // Combining every cell with each second fault would take six times as long, so only every sixth
    // cell is combined.
    const auto singleFaultCells = cells;
    for (std::size_t index = 0; index < singleFaultCells.size(); index += 6)
        addPairs(tested, singleFaultCells[index], cells);
    return cells;
}

const char *threatenedInvariant(step atStep, fault injected)
{
    if (injected == fault::ClockDriftAtBound || injected == fault::WorkerRestart
        || injected == fault::ConcurrentActor)
        return "no task runs on two workers";
    switch (atStep) {
    case step::TableRead:
    case step::TableWrite:
        return "one owner acts; epochs only increase";
    case step::Query:
        return "no task starts before the worker replied under the epoch";
    case step::Renew:
        return "no task runs on two workers";
    case step::Start:
        return "an attempt runs once";
    case step::Stop:
        return "every task that should run runs again";
    case step::Heartbeat:
        return "a worker executes no order of a lower epoch";
    default:
        return "no accepted change is lost";
    }
}

void report::notApplicable(const cell &matrixCell, const char *reason)
{
    ++m_rows[matrixCell.first.atStep].notApplicable;
    ++m_reasons[reason];
}

void report::print(const char *name) const
{
    std::printf("\n%-28s %8s %8s %15s\n", name, "passed", "failed", "not applicable");
    row total;
    for (const auto &[at, counts] : m_rows) {
        std::printf("  %-26s %8d %8d %15d\n", stepNames[static_cast<std::size_t>(at)],
                    counts.passed, counts.failed, counts.notApplicable);
        total.passed += counts.passed;
        total.failed += counts.failed;
        total.notApplicable += counts.notApplicable;
    }
    std::printf("  %-26s %8d %8d %15d\n", "all", total.passed, total.failed, total.notApplicable);
    for (const auto &[reason, count] : m_reasons)
        std::printf("  not applicable: %d, %s\n", count, reason.c_str());
}

} // namespace plantaingap::matrix

#include "matrix/cells.h"

#include "matrix/config_world.h"
#include "matrix/coordination_world.h"
#include "matrix/membership_world.h"
#include "matrix/store_world.h"

#include <cstdio>

namespace plantaingap::matrix {

namespace {

const std::vector<fault> everyFault = {
    fault::Crash,          fault::PausePastLease,   fault::PausePastGrace,  fault::Lost,
    fault::Duplicated,     fault::Delayed,          fault::Reordered,       fault::StoreUnavailable,
    fault::StoreReplyLost, fault::StoreSlow,        fault::ClockAtBound,    fault::Rival,
    fault::WorkerFailsAll, fault::CancellationWave, fault::WorkerRestart,   fault::CutFromPeers,
    fault::CutFromWorkers, fault::CutFromStore,     fault::CutFromOneWorker};

template<class World>
cell_result runIn(const cell &what)
{
    World world(what.seed);
    return world.run(what);
}

const std::vector<protocol> all = {
    {"ownership and leases",
     {"first claim", "steady", "takeover after a kill", "takeover after a pause",
      "planned handover", "takeover with the store away", "owner cut off from the rest",
      "cancellations", "a worker reached by the former owner alone",
      "a dead owner's worker cannot be reached", "a worker falls silent",
      "a worker's answers are lost", "a successor holds one worker", "a worker forgets its epoch"},
     {step::TableRead, step::TableWrite, step::Query, step::Renew, step::Start, step::Stop,
      step::Heartbeat},
     everyFault,
     {fault::Crash, fault::PausePastLease, fault::StoreUnavailable, fault::StoreReplyLost,
      fault::WorkerRestart, fault::CutFromPeers, fault::CutFromWorkers, fault::CutFromStore},
     1,
     1,
     runIn<coordination_world>},
    {"configuration in force",
     {"one operator at a time", "operators race", "start with the store away"},
     {step::HeadRead, step::HeadWrite, step::AuditWrite, step::Fetch, step::Heartbeat},
     {fault::Crash, fault::PausePastLease, fault::Lost, fault::Duplicated, fault::Delayed,
      fault::Reordered, fault::StoreUnavailable, fault::StoreReplyLost, fault::Rival, fault::CutFromPeers,
      fault::CutFromStore},
     {fault::Crash, fault::PausePastLease, fault::StoreUnavailable, fault::StoreReplyLost, fault::Rival,
      fault::CutFromPeers, fault::CutFromStore},
     20,
     7,
     runIn<config_world>},
    {"durable writes and requests sent once",
     {"repeats at once", "repeats later"},
     {step::Commit, step::ReadBack, step::RequestSend},
     {fault::Crash, fault::PausePastLease, fault::Lost, fault::Duplicated, fault::Delayed,
      fault::Reordered, fault::StoreUnavailable, fault::StoreReplyLost, fault::StoreSlow,
      fault::CutFromStore},
     {fault::Crash, fault::PausePastLease, fault::StoreUnavailable, fault::StoreReplyLost,
      fault::StoreSlow, fault::CutFromStore},
     20,
     7,
     runIn<store_world>},
    {"membership and leaving",
     {"a worker leaves", "an instance is stopped by plan"},
     {step::Heartbeat, step::ListRead},
     {fault::Crash, fault::PausePastLease, fault::Lost, fault::Duplicated, fault::Delayed,
      fault::Reordered, fault::CutFromPeers},
     {fault::Crash, fault::PausePastLease, fault::CutFromPeers},
     60,
     3,
     runIn<membership_world>},
};

void addPairs(const protocol &which, const cell &single, std::vector<cell> &cells)
{
    for (const fault second : which.seconds) {
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

std::vector<cell> cellsOf(const protocol &which)
{
    std::vector<cell> cells;
    for (const char *scenario : which.scenarios) {
        for (const step at : which.steps) {
            for (const auto when : {phase::BeforeSend, phase::SentNotApplied,
                                    phase::AppliedNotAnswered, phase::Answered}) {
                for (const fault what : which.faults) {
                    for (std::uint32_t nth = 1; nth <= which.occurrences; nth += which.everyNth)
                        cells.push_back({scenario, {what, at, when, nth}, {}, cells.size() + 1});
                }
            }
        }
    }
    // All pairs would be six times as many; every sixth single gets each second fault.
    const auto singles = cells;
    for (std::size_t index = 0; index < singles.size(); index += 6)
        addPairs(which, singles[index], cells);
    return cells;
}

const char *threatened(step at, fault what)
{
    if (what == fault::ClockAtBound || what == fault::WorkerRestart || what == fault::Rival)
        return "no task runs in two places";
    switch (at) {
    case step::TableRead:
    case step::TableWrite:
        return "one owner acts; epochs only grow";
    case step::Query:
        return "nothing is placed before the worker answered";
    case step::Renew:
        return "no task runs in two places";
    case step::Start:
        return "an attempt runs once";
    case step::Stop:
        return "every task that should run runs again";
    case step::Heartbeat:
        return "a worker obeys no lower epoch";
    default:
        return "nothing accepted is lost";
    }
}

void report::notApplicable(const cell &what, const char *reason)
{
    ++m_rows[what.first.at].notApplicable;
    ++m_reasons[reason];
}

void report::print(const char *name) const
{
    std::printf("\n%-28s %8s %8s %15s\n", name, "passed", "failed", "not applicable");
    row sum;
    for (const auto &[at, counts] : m_rows) {
        std::printf("  %-26s %8d %8d %15d\n", stepNames[static_cast<std::size_t>(at)],
                    counts.passed, counts.failed, counts.notApplicable);
        sum.passed += counts.passed;
        sum.failed += counts.failed;
        sum.notApplicable += counts.notApplicable;
    }
    std::printf("  %-26s %8d %8d %15d\n", "all", sum.passed, sum.failed, sum.notApplicable);
    for (const auto &[reason, count] : m_reasons)
        std::printf("  not applicable: %d, %s\n", count, reason.c_str());
}

} // namespace plantaingap::matrix

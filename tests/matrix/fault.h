#ifndef PLANTAINGAP_TESTS_MATRIX_FAULT_H
#define PLANTAINGAP_TESTS_MATRIX_FAULT_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>

// The vocabulary of the fault matrix: steps of the protocols, phases of a step, and faults.
namespace plantaingap::matrix {

enum class phase : std::uint8_t { BeforeSend, SentNotApplied, AppliedNotAnswered, Answered };

// A call from one party to another: the step of a protocol.
enum class step : std::uint8_t {
    TableRead,
    TableWrite,
    Query,
    Renew,
    Start,
    Stop,
    Heartbeat,
    HeadRead,
    HeadWrite,
    AuditWrite,
    Fetch,
    Commit,
    ReadBack,
    RequestSend,
    ListRead,
    None,
};

enum class fault : std::uint8_t {
    Crash,
    PausePastLease,
    PausePastGrace,
    Lost,
    Duplicated,
    Delayed,
    Reordered,
    StoreUnavailable,
    StoreReplyLost,
    StoreSlow,
    ClockAtBound,
    Rival,
    WorkerFailsAll,
    CancellationWave,
    WorkerRestart,
    CutFromPeers,
    CutFromWorkers,
    CutFromStore,
    CutFromOneWorker,
};

constexpr std::array<const char *, 4> phaseNames = {"before send", "sent, not applied",
                                                    "applied, not answered", "answered"};
constexpr std::array<const char *, 16> stepNames = {
    "table read", "table write", "query",      "renewal",     "start", "stop",
    "heartbeat",  "head read",   "head write", "audit write", "fetch", "commit",
    "read back",  "request",     "list read",  "none"};
constexpr std::array<const char *, 19> faultNames = {"crash",
                                                     "pause past the lease",
                                                     "pause past the grace",
                                                     "lost",
                                                     "duplicated",
                                                     "delayed",
                                                     "reordered",
                                                     "store away",
                                                     "store reply lost",
                                                     "store slow",
                                                     "clock at the bound",
                                                     "rival acts",
                                                     "worker fails all",
                                                     "cancellation wave",
                                                     "worker restarts",
                                                     "cut from peers",
                                                     "cut from workers",
                                                     "cut from store",
                                                     "cut from one worker"};

// A fault at the nth time that a step comes to a phase, counted from the start of the faulty time.
struct injection
{
    fault what = fault::Crash;
    step at = step::TableRead;
    phase when = phase::BeforeSend;
    std::uint32_t occurrence = 1;
};

struct cell
{
    std::string scenario;
    injection first;
    // Comes a little after the first, wherever things stand then.
    std::optional<fault> second;
    std::uint64_t seed = 1;

    std::string name() const
    {
        std::string text = scenario + ": " + faultNames[static_cast<std::size_t>(first.what)]
                           + " at " + stepNames[static_cast<std::size_t>(first.at)] + ", "
                           + phaseNames[static_cast<std::size_t>(first.when)];
        if (second)
            text += std::string(" + ") + faultNames[static_cast<std::size_t>(*second)];
        return text;
    }
};

// Why a fault cannot come at a phase; empty when it can.
inline std::string notApplicable(fault what, phase when)
{
    const bool ofMessage = what == fault::Lost || what == fault::Duplicated
                           || what == fault::Delayed || what == fault::Reordered;
    if (ofMessage && when == phase::BeforeSend)
        return "no message is on the wire before it is sent";
    if (ofMessage && when == phase::Answered)
        return "no message is on the wire after its answer";
    return {};
}

// Thrown by a world when an invariant does not hold.
struct broken_invariant
{
    std::string name;
};

// How a cell ended: broken is empty when every invariant held.
struct cell_result
{
    std::string broken;
    // False when the scenario never came to the step and phase.
    bool reached = false;
    std::uint64_t steps = 0;
};

} // namespace plantaingap::matrix

#endif

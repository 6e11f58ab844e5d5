#ifndef PLANTAINGAP_TESTS_MATRIX_FAULT_H
#define PLANTAINGAP_TESTS_MATRIX_FAULT_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>

// Steps of the protocols, phases of a step, and faults of the fault matrix.
namespace plantaingap::matrix {

enum class phase : std::uint8_t { BeforeSend, SentNotApplied, AppliedNotReplied, Replied };

// A step of a protocol: a call from one process to another.
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
    ClockDriftAtBound,
    ConcurrentActor,
    WorkerFailsAll,
    MassCancellation,
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
                                                     "pause longer than the lease",
                                                     "pause longer than the grace period",
                                                     "lost",
                                                     "duplicated",
                                                     "delayed",
                                                     "reordered",
                                                     "store unavailable",
                                                     "store reply lost",
                                                     "store slow",
                                                     "clock drift at the bound",
                                                     "concurrent actor",
                                                     "worker fails all",
                                                     "mass cancellation",
                                                     "worker restarts",
                                                     "cut from peers",
                                                     "cut from workers",
                                                     "cut from store",
                                                     "cut from one worker"};

// Injects a fault when a step reaches a phase for the nth time, counted from the start of the fault
// window.
struct injection
{
    fault injectedFault = fault::Crash;
    step atStep = step::TableRead;
    phase atPhase = phase::BeforeSend;
    std::uint32_t occurrence = 1;
};

struct cell
{
    std::string scenario;
    injection first;
    // Injected 200 to 400 ms after the first, at any step and phase.
    std::optional<fault> second;
    std::uint64_t seed = 1;

    std::string name() const
    {
        std::string text = scenario + ": "
                           + faultNames[static_cast<std::size_t>(first.injectedFault)] + " at "
                           + stepNames[static_cast<std::size_t>(first.atStep)] + ", "
                           + phaseNames[static_cast<std::size_t>(first.atPhase)];
        if (second)
            text += std::string(" + ") + faultNames[static_cast<std::size_t>(*second)];
        return text;
    }
};

// The reason why a fault is impossible at a phase; empty if it is possible.
inline std::string notApplicable(fault injected, phase reachedPhase)
{
    const bool isMessageFault = injected == fault::Lost || injected == fault::Duplicated
                                || injected == fault::Delayed || injected == fault::Reordered;
    if (isMessageFault && reachedPhase == phase::BeforeSend)
        return "no message is on the wire before it is sent";
    if (isMessageFault && reachedPhase == phase::Replied)
        return "no message is on the wire after its reply";
    return {};
}

// Thrown by a simulated world when an invariant is violated.
struct invariant_violation
{
    std::string name;
};

// The result of a cell.
struct cell_result
{
    // Empty if every invariant held.
    std::string violatedInvariant;
    // False if the scenario never reached the step and phase of the fault.
    bool reached = false;
    std::uint64_t steps = 0;
};

} // namespace plantaingap::matrix

#endif

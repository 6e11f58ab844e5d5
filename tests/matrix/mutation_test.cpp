#include "matrix/cells.h"
#include "matrix/coordination_world.h"
#include "platform/backoff.h"

#include <cstdio>
#include <cstdlib>
#include <doctest/doctest.h>
#include <plantaingap/mutation.h>
#include <set>

#ifdef PLANTAINGAP_MUTATIONS

using namespace plantaingap::matrix;

namespace {

struct mutation_row
{
    const char *name;
    const char *guard;
    const char *protocol;
    // The scenario whose cells are run; empty for all scenarios.
    const char *scenario = "";
};

constexpr mutation_row rows[] = {
    {"worker.skip_epoch_check", "a worker rejects lower epochs", "ownership and leases"},
    {"worker.skip_stale_start", "a worker rejects stale starts", "ownership and leases",
     "only the previous owner reaches a worker"},
    {"worker.skip_boot_check", "a worker rejects orders for its previous incarnation",
     "ownership and leases"},
    {"worker.skip_lease_lapse", "a worker stops tasks when the lease expires",
     "ownership and leases", "the owner loses contact with a worker"},
    {"worker.skip_started_attempts", "a worker runs an attempt once", "ownership and leases",
     "cancellations"},
    {"lease.place_before_answer", "no task starts before the worker replied under the epoch",
     "ownership and leases", "a worker restarts and loses its epoch"},
    {"lease.skip_restart_certainty", "an inherited task waits until it is certain not to run",
     "ownership and leases"},
    {"lease.skip_start_in_flight", "a start counts until it is stale", "ownership and leases",
     "takeover while the store is unavailable"},
    {"lease.skip_boot_cover", "a restarted worker waits for a later confirmation",
     "ownership and leases", "a worker restarts and loses its epoch"},
    {"lease.skip_answer_order", "an older reply is ignored", "ownership and leases"},
    {"lease.skip_drift_margin", "wait times include a margin for clock drift",
     "ownership and leases", "the owner loses contact with a worker"},
    {"lease.skip_exclusion", "an expired lease counts only if no higher epoch had acted",
     "ownership and leases", "a successor reaches only one worker"},
    {"lease.skip_former_margin", "leases of a previous owner outlive it", "ownership and leases",
     "a worker of a crashed owner is unreachable"},
    {"lease.renew_from_now", "a lease starts at the worker's timestamp", "ownership and leases",
     "replies of a worker are lost"},
    {"ownership.skip_heard_epoch", "an owner steps down for a higher epoch",
     "ownership and leases"},
    {"ownership.skip_store_grace", "an owner without store contact stops sending orders",
     "ownership and leases", "only the previous owner reaches a worker"},
    {"ownership.skip_successor_idle", "a successor is asked whether it acted",
     "ownership and leases", "a successor reaches only one worker"},
    {"ownership.unknown_is_applied", "a lost reply is resolved by reading", "ownership and leases"},
    {"ownership.skip_write_identity", "a reply counts for its own write", "ownership and leases",
     "a worker restarts and loses its epoch"},
    {"ownership.skip_read_order", "an older read is ignored", "ownership and leases"},
    {"config.skip_base_check", "a change names the version it was prepared against",
     "active configuration"},
    {"config.unknown_is_applied", "a lost reply is resolved by reading", "active configuration"},
    {"config.conflict_is_lost", "a conflict may be with the same write", "active configuration"},
    {"config.ready_unasked", "an instance is not ready before it knows the newest version",
     "active configuration"},
    {"config.skip_version_check", "the target version only increases", "active configuration"},
    {"config.skip_fetch_check", "a late document is ignored", "active configuration"},
    {"store.unknown_is_lost", "a lost reply does not mean rejection",
     "durable writes and non-idempotent requests"},
    {"store.unknown_is_applied", "a lost reply does not mean success",
     "durable writes and non-idempotent requests"},
    {"store.conflict_is_lost", "a conflict may be with the same write",
     "durable writes and non-idempotent requests"},
    {"store.late_is_lost", "a write that may be applied is not reported as rejected",
     "durable writes and non-idempotent requests"},
    {"store.skip_write_identity", "a row counts for the write it names",
     "durable writes and non-idempotent requests"},
    {"store.share_sent_read", "a read in flight is not shared with later requests",
     "durable writes and non-idempotent requests"},
    {"store.skip_budget", "calls stay within the budget",
     "durable writes and non-idempotent requests"},
    {"store.skip_jitter", "retries of instances that failed together are spread", "backoff"},
    {"membership.skip_sequence", "an older heartbeat is ignored", "membership and leaving workers"},
    {"membership.skip_list_revision", "an older list is ignored", "membership and leaving workers"},
};

std::string findFailingCell(const protocol &tested, std::string_view scenario)
{
    for (const auto &matrixCell : enumerateCells(tested)) {
        if (!notApplicable(matrixCell.first.injectedFault, matrixCell.first.atPhase).empty())
            continue;
        if (!scenario.empty() && matrixCell.scenario != scenario)
            continue;
        const auto result = tested.run(matrixCell);
        if (!result.violatedInvariant.empty())
            return matrixCell.name() + " -> " + result.violatedInvariant;
    }
    return {};
}

// At least 90 of a hundred instances that fail at the same time must retry at different times.
std::string checkBackoffSpread()
{
    std::set<plantaingap::time_point> returns;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        plantaingap::platform::backoff machine(std::chrono::milliseconds(50),
                                               std::chrono::seconds(5), seed);
        returns.insert(machine.failed(plantaingap::time_point {}));
    }
    return returns.size() >= 90 ? "" : "backoff: a hundred instances retry at the same time";
}

// Runs the cells of the scenario, then random runs, and returns the first that fails; empty if none
// does.
std::string findFailure(const mutation_row &row)
{
    for (const auto &tested : protocols()) {
        if (std::string_view(tested.name) != row.protocol)
            continue;
        const auto failure = findFailingCell(tested, row.scenario);
        if (!failure.empty())
            return failure;
    }
    if (std::string_view(row.protocol) == "backoff")
        return checkBackoffSpread();
    if (std::string_view(row.protocol) != "ownership and leases")
        return {};
    for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
        coordination_world world(seed);
        const auto result = world.runRandom(std::chrono::seconds(100));
        if (!result.violatedInvariant.empty())
            return "random run, seed " + std::to_string(seed) + " -> " + result.violatedInvariant;
    }
    return {};
}

} // namespace

TEST_CASE("each mutation that disables a guard fails at least one cell")
{
    const char *protocolFilter = std::getenv("MATRIX_PROTOCOL");
    for (const auto &row : rows) {
        if (protocolFilter
            && std::string_view(row.protocol).find(protocolFilter) == std::string_view::npos)
            continue;
        plantaingap::activeMutation = row.name;
        const auto cell = findFailure(row);
        plantaingap::activeMutation = {};
        std::printf("%-32s %s\n", row.name, cell.empty() ? "SURVIVED" : cell.c_str());
        std::fflush(stdout);
        CHECK_MESSAGE(!cell.empty(), row.name << " survived: " << row.guard);
    }
}

#endif

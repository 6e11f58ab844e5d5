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
    // Where it is looked for first; empty for anywhere.
    const char *scenario = "";
};

constexpr mutation_row rows[] = {
    {"worker.skip_epoch_check", "a worker refuses lower epochs", "ownership and leases"},
    {"worker.skip_stale_start", "a worker refuses stale starts", "ownership and leases",
     "a worker reached by the former owner alone"},
    {"worker.skip_boot_check", "a worker refuses orders for its former run",
     "ownership and leases"},
    {"worker.skip_lease_lapse", "a worker stops tasks when the lease lapses",
     "ownership and leases", "a worker falls silent"},
    {"worker.skip_started_attempts", "a worker runs an attempt once", "ownership and leases",
     "cancellations"},
    {"lease.place_before_answer", "nothing is placed before the worker answered",
     "ownership and leases", "a worker forgets its epoch"},
    {"lease.skip_restart_certainty", "an inherited task waits until it is certain not to run",
     "ownership and leases"},
    {"lease.skip_start_in_flight", "a start counts until it is stale", "ownership and leases",
     "takeover with the store away"},
    {"lease.skip_boot_cover", "a restarted worker waits for a later confirmation",
     "ownership and leases", "a worker forgets its epoch"},
    {"lease.skip_answer_order", "an older answer is passed over", "ownership and leases"},
    {"lease.skip_drift_margin", "waiting times outlast the drift of clocks", "ownership and leases",
     "a worker falls silent"},
    {"lease.skip_exclusion", "a lapse counts only if nobody above us had acted",
     "ownership and leases", "a successor holds one worker"},
    {"lease.skip_former_margin", "a former owner's leases outlive it", "ownership and leases",
     "a dead owner's worker cannot be reached"},
    {"lease.renew_from_now", "a lease is counted from the worker's stamp", "ownership and leases",
     "a worker's answers are lost"},
    {"ownership.skip_heard_epoch", "an owner steps down for a higher epoch",
     "ownership and leases"},
    {"ownership.skip_store_grace", "an owner without store contact stops", "ownership and leases",
     "a worker reached by the former owner alone"},
    {"ownership.skip_successor_idle", "a successor's acts are asked for", "ownership and leases",
     "a successor holds one worker"},
    {"ownership.unknown_is_applied", "a lost reply is settled by reading", "ownership and leases"},
    {"ownership.skip_write_identity", "a reply counts for its own write", "ownership and leases",
     "a worker forgets its epoch"},
    {"ownership.skip_read_order", "an older read is passed over", "ownership and leases"},
    {"config.skip_base_check", "a change names the version it was prepared against",
     "configuration in force"},
    {"config.unknown_is_applied", "a lost reply is settled by reading", "configuration in force"},
    {"config.conflict_is_lost", "a conflict may be our own write", "configuration in force"},
    {"config.ready_unasked", "nobody is ready before it knows", "configuration in force"},
    {"config.skip_version_check", "the version wanted only grows", "configuration in force"},
    {"config.skip_fetch_check", "a late document is passed over", "configuration in force"},
    {"store.unknown_is_lost", "a lost reply is no refusal",
     "durable writes and requests sent once"},
    {"store.unknown_is_applied", "a lost reply is no success",
     "durable writes and requests sent once"},
    {"store.conflict_is_lost", "a conflict may be our own write",
     "durable writes and requests sent once"},
    {"store.late_is_lost", "what may be written is not called refused",
     "durable writes and requests sent once"},
    {"store.skip_write_identity", "a row counts for the write it names",
     "durable writes and requests sent once"},
    {"store.share_sent_read", "a read on its way is not joined",
     "durable writes and requests sent once"},
    {"store.skip_budget", "calls stay within the budget", "durable writes and requests sent once"},
    {"store.skip_jitter", "instances that failed together come back spread", "backoff"},
    {"membership.skip_sequence", "an older heartbeat is passed over", "membership and leaving"},
    {"membership.skip_list_revision", "an older list is passed over", "membership and leaving"},
};

std::string firstRed(const protocol &which, std::string_view scenario)
{
    for (const auto &what : cellsOf(which)) {
        if (!notApplicable(what.first.what, what.first.when).empty())
            continue;
        if (!scenario.empty() && what.scenario != scenario)
            continue;
        const auto result = which.run(what);
        if (!result.broken.empty())
            return what.name() + " -> " + result.broken;
    }
    return {};
}

// Of a hundred instances that fail together, hardly two may come back together.
std::string herd()
{
    std::set<plantaingap::time_point> returns;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        plantaingap::platform::backoff machine(std::chrono::milliseconds(50),
                                               std::chrono::seconds(5), seed);
        returns.insert(machine.failed(plantaingap::time_point {}));
    }
    return returns.size() >= 90 ? "" : "backoff: a hundred instances come back together";
}

// Tries the cells of the scenario, then random runs, until one goes red.
std::string caughtBy(const mutation_row &row)
{
    for (const auto &which : protocols()) {
        if (std::string_view(which.name) != row.protocol)
            continue;
        const auto found = firstRed(which, row.scenario);
        if (!found.empty())
            return found;
    }
    if (std::string_view(row.protocol) == "backoff")
        return herd();
    if (std::string_view(row.protocol) != "ownership and leases")
        return {};
    for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
        coordination_world world(seed);
        const auto result = world.runRandom(std::chrono::seconds(100));
        if (!result.broken.empty())
            return "random run, seed " + std::to_string(seed) + " -> " + result.broken;
    }
    return {};
}

} // namespace

TEST_CASE("each guard that is taken out is missed by some cell")
{
    const char *only = std::getenv("MATRIX_PROTOCOL");
    for (const auto &row : rows) {
        if (only && std::string_view(row.protocol).find(only) == std::string_view::npos)
            continue;
        plantaingap::activeMutation = row.name;
        const auto cell = caughtBy(row);
        plantaingap::activeMutation = {};
        std::printf("%-32s %s\n", row.name, cell.empty() ? "SURVIVED" : cell.c_str());
        std::fflush(stdout);
        CHECK_MESSAGE(!cell.empty(), row.name << " survived: " << row.guard);
    }
}

#endif

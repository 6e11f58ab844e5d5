#ifndef PLANTAINGAP_TESTS_MATRIX_COORDINATION_WORLD_H
#define PLANTAINGAP_TESTS_MATRIX_COORDINATION_WORLD_H

#include "backend/worker_lease.h"
#include "backend/worker_order_handler.h"
#include "matrix/network.h"
#include "peer/membership.h"
#include "peer/ownership.h"

#include <map>
#include <memory>
#include <set>

namespace plantaingap::matrix {

// One group with its workers, a table row and three instances that run the real state machines for
// membership, ownership and leases over a simulated network with faults. Checks the safety
// invariants at every order that a worker executes, and at the end that all tasks run under one
// owner.
class coordination_world
{
public:
    explicit coordination_world(std::uint64_t seed);

    // Runs one cell: its scenario with its faults.
    cell_result run(const cell &matrixCell);

    // Runs for this virtual time with random faults, which stop 40 s before the end.
    cell_result runRandom(sim_time span);

private:
    static constexpr std::uint32_t instanceCount = 3;
    static constexpr std::uint32_t workerCount = 3;
    // The maximum rate error of clocks; equals driftPpm in the lease limits.
    static constexpr double driftAtBound = 0.1;

    struct instance
    {
        std::uint32_t index = 0;
        instance_ref ref;
        bool alive = true;
        sim_time pausedUntil {};
        double rate = 1;
        sim_time offset {};
        bool cutFromPeers = false;
        bool cutFromWorkers = false;
        bool cutFromStore = false;
        bool stopping = false;
        std::uint64_t ticks = 0;
        std::unique_ptr<peer::membership> members;
        std::unique_ptr<peer::group_ownership> ownership;
        std::unique_ptr<backend::worker_leases> leases;
        std::map<std::uint32_t, worker_id> placed;
        std::set<std::uint32_t> confirmedTasks;
        std::uint32_t attempts = 0;
        std::vector<instance_ref> candidates;
    };

    struct worker
    {
        backend::worker_order_handler rules;
        sim_time bootAt {};
        double rate = 1;
        bool failsAll = false;
        // Epochs under which the worker has received an order since its start.
        std::set<epoch> receivedEpochs;
        epoch highestAcceptedEpoch;
    };

    void start(std::uint32_t index);
    void scheduleTick(std::uint32_t index);
    void tick(instance &self);
    void sendHeartbeat(instance &self);
    void place(instance &self);
    void process(instance &self, const membership_event &event);
    void process(instance &self, const ownership_event &event);
    void process(instance &self, const lease_event &event);
    void execute(instance &self, const std::vector<ownership_action> &actions);
    void execute(instance &self, const std::vector<lease_action> &actions);
    void readRow(instance &self);
    void writeRow(instance &self, const group_row &row);
    void sendOrder(instance &self, const worker_order &order);
    network::delivery executeOrder(std::uint32_t sender, const worker_order &order);
    void checkStart(worker &simWorker, const start_order &order);
    void checkNoDuplicateRuns();
    void checkGained(const instance &self, const epoch &authority);
    void reportGone(const instance_ref &goneInstance);
    void isolateWithWorker0(instance &self, sim_time span);
    void splitOwnerAndSuccessor(instance &owner);
    void restartWorkerUnderIsolation(instance &owner);
    void restartWorker(std::uint32_t index);
    void checkEnd();
    network::reply_handler replyTo(const instance &self, std::function<void(instance &)> action);
    bool beforeSend(step reachedStep, instance &self);

    time_point localTime(const instance &self) const;
    duration uptime(const worker &simWorker) const;
    bool storeReachable(const instance &self) const;

    void arm(const cell &matrixCell);
    void inject(fault injected, instance &victim);
    void scheduleRecovery(sim_time when, std::function<void()> run);
    void cancelAllTasks();
    void startScenario(const std::string &scenario);
    cell_result finish(sim_time span);

    network m_network;
    std::vector<instance> m_instances;
    std::vector<worker> m_workers;
    std::optional<group_row> m_row;
    sim_time m_storeUnavailableUntil {};
    sim_time m_storeReplyLostUntil {};
    sim_time m_storeSlowUntil {};
    bool m_armed = false;
    cell m_cell;
    std::uint32_t m_occurrences = 0;
    bool m_reached = false;
    std::map<task_id, int> m_starts;
    std::map<epoch, instance_ref> m_epochHolders;
    std::set<instance_ref> m_gone;
    // When each cut link between an instance and a worker is restored.
    std::map<std::pair<std::uint32_t, std::uint32_t>, sim_time> m_cutUntil;
    // Until when replies are lost on links over which orders still arrive.
    std::map<std::pair<std::uint32_t, std::uint32_t>, sim_time> m_repliesLostUntil;
};

} // namespace plantaingap::matrix

#endif

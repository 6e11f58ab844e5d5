#ifndef PLANTAINGAP_TESTS_MATRIX_COORDINATION_WORLD_H
#define PLANTAINGAP_TESTS_MATRIX_COORDINATION_WORLD_H

#include "backend/worker_lease.h"
#include "backend/worker_rules.h"
#include "matrix/network.h"
#include "peer/membership.h"
#include "peer/ownership.h"

#include <map>
#include <memory>
#include <set>

namespace plantaingap::matrix {

// One group with its workers, a table row and three instances that run the real machines of
// membership, ownership and leases over a network that fails. Checks what must always hold at every
// order that a worker obeys, and at the end that everything runs again.
class coordination_world
{
public:
    explicit coordination_world(std::uint64_t seed);

    // A single cell: the scenario named, with its faults.
    cell_result run(const cell &what);

    // Faults drawn at random until this virtual time.
    cell_result runRandom(sim_time span);

private:
    static constexpr std::uint32_t instanceCount = 3;
    static constexpr std::uint32_t workerCount = 3;
    // The bound on the rate error of clocks, the same as in the limits of the machines.
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
        std::uint64_t beats = 0;
        std::unique_ptr<peer::membership> members;
        std::unique_ptr<peer::group_ownership> ownership;
        std::unique_ptr<backend::worker_leases> leases;
        std::map<std::uint32_t, worker_id> placed;
        std::set<std::uint32_t> ours;
        std::uint32_t attempts = 0;
        std::vector<instance_ref> candidates;
    };

    struct worker
    {
        backend::worker_rules rules;
        sim_time bootAt {};
        double rate = 1;
        bool failsAll = false;
        std::set<epoch> asked;
        epoch obeyed;
    };

    void start(std::uint32_t index);
    void scheduleTick(std::uint32_t index);
    void tick(instance &self);
    void beat(instance &self);
    void place(instance &self);
    void give(instance &self, const membership_event &event);
    void give(instance &self, const ownership_event &event);
    void give(instance &self, const lease_event &event);
    void carryOut(instance &self, const std::vector<ownership_action> &actions);
    void carryOut(instance &self, const std::vector<lease_action> &actions);
    void readRow(instance &self);
    void writeRow(instance &self, const group_row &row);
    void sendOrder(instance &self, const worker_order &order);
    network::delivery obey(std::uint32_t sender, const worker_order &order);
    void checkStart(worker &at, const start_order &order);
    void checkOnePlace();
    void checkGained(const instance &self, const epoch &authority);
    void tellGone(const instance_ref &gone);
    void isolate(instance &self, sim_time span);
    void splitBySuccessor(instance &owner);
    void forgetEpoch(instance &owner);
    void restartWorker(std::uint32_t index);
    void checkEnd();
    network::answer answerTo(const instance &self, std::function<void(instance &)> act);
    bool before(step what, instance &self);

    time_point localTime(const instance &self) const;
    duration uptime(const worker &at) const;
    bool storeReachable(const instance &self) const;

    void arm(const cell &what);
    void inject(fault what, instance &victim);
    void heal(sim_time when, std::function<void()> run);
    void cancelAll();
    void startScenario(const std::string &scenario);
    cell_result finish(sim_time span);

    network m_network;
    std::vector<instance> m_instances;
    std::vector<worker> m_workers;
    std::optional<group_row> m_row;
    sim_time m_storeAwayUntil {};
    sim_time m_storeReplyLostUntil {};
    sim_time m_storeSlowUntil {};
    bool m_armed = false;
    cell m_cell;
    std::uint32_t m_occurrences = 0;
    bool m_reached = false;
    std::map<task_id, int> m_starts;
    std::map<epoch, instance_ref> m_holders;
    std::set<instance_ref> m_gone;
    // Links between an instance and a worker that are cut, and until when.
    std::map<std::pair<std::uint32_t, std::uint32_t>, sim_time> m_cutUntil;
    // Links over which orders arrive and answers do not.
    std::map<std::pair<std::uint32_t, std::uint32_t>, sim_time> m_deafUntil;
};

} // namespace plantaingap::matrix

#endif

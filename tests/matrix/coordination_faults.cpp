#include "matrix/coordination_world.h"

#include <algorithm>

namespace plantaingap::matrix {

using namespace std::chrono_literals;

namespace {

constexpr sim_time faultsStart = 6s;
constexpr sim_time faultsEnd = 16s;
constexpr sim_time cellEnd = 52s;

} // namespace

void coordination_world::scheduleRecovery(sim_time when, std::function<void()> run)
{
    m_network.schedule(when, std::move(run));
}

void coordination_world::cancelAllTasks()
{
    for (auto &self : m_instances) {
        if (!self.alive || !self.ownership->authority() || self.pausedUntil > m_network.now())
            continue;
        for (const auto &simWorker : m_workers) {
            const auto running = simWorker.rules.running();
            for (const auto &task : running)
                process(self, lease_event(stop_requested {task}));
        }
    }
}

void coordination_world::inject(fault injected, instance &victim)
{
    const auto now = m_network.now();
    const auto index = victim.index;
    const auto cut = [&](bool instance::*link, sim_time span) {
        victim.*link = true;
        scheduleRecovery(now + span, [this, index, link] { m_instances[index].*link = false; });
    };
    switch (injected) {
    case fault::Crash:
        if (!victim.alive)
            return;
        victim.alive = false;
        reportGone(victim.ref);
        scheduleRecovery(now + 2500ms, [this, index] { start(index); });
        return;
    case fault::PausePastLease:
        victim.pausedUntil = now + 4500ms;
        return;
    case fault::PausePastGrace:
        victim.pausedUntil = now + 9s;
        return;
    case fault::StoreUnavailable:
        m_storeUnavailableUntil = now + 9s;
        return;
    case fault::StoreReplyLost:
        m_storeReplyLostUntil = now + 1500ms;
        return;
    case fault::StoreSlow:
        m_storeSlowUntil = now + 5s;
        return;
    case fault::CutFromPeers:
        return cut(&instance::cutFromPeers, 8s);
    case fault::CutFromWorkers:
        return cut(&instance::cutFromWorkers, 8s);
    case fault::CutFromOneWorker:
        m_cutUntil[{index, index % workerCount}] = now + 14s;
        return;
    case fault::CutFromStore:
        return cut(&instance::cutFromStore, 11s);
    case fault::ConcurrentActor:
        // The instances lose contact with each other while the table is unavailable, so the
        // successors of the sender act by rank.
        m_storeUnavailableUntil = now + 4s;
        for (auto &other : m_instances) {
            const auto otherIndex = other.index;
            other.cutFromPeers = true;
            scheduleRecovery(now + 5s,
                             [this, otherIndex] { m_instances[otherIndex].cutFromPeers = false; });
        }
        return;
    case fault::ClockDriftAtBound:
        // Changing rates at this point would move clocks backwards; arm() sets them at the start.
        return;
    case fault::WorkerFailsAll:
        m_workers[0].failsAll = true;
        scheduleRecovery(now + 3s, [this] { m_workers[0].failsAll = false; });
        return;
    case fault::MassCancellation:
        cancelAllTasks();
        return;
    case fault::WorkerRestart:
        restartWorker(index % workerCount);
        return;
    default:
        m_network.setMessageFault(injected);
    }
}

// Until the time span ends, the owner reaches only worker 0, and the other instances reach
// everything except worker 0.
void coordination_world::isolateWithWorker0(instance &self, sim_time span)
{
    const auto until = m_network.now() + span;
    const auto index = self.index;
    self.cutFromPeers = true;
    self.cutFromStore = true;
    scheduleRecovery(until, [this, index] {
        m_instances[index].cutFromPeers = false;
        m_instances[index].cutFromStore = false;
    });
    for (const auto &other : m_instances) {
        for (std::uint32_t simWorker = 0; simWorker < workerCount; ++simWorker) {
            if ((simWorker == 0) != (other.index == index))
                m_cutUntil[{other.index, simWorker}] = until;
        }
    }
}

// For 14 s, the first successor reaches only worker 0 and not the store; the owner reaches the
// store and all workers except worker 0; the third instance reaches nothing.
void coordination_world::splitOwnerAndSuccessor(instance &owner)
{
    const auto until = m_network.now() + 14s;
    const auto successor = number(m_row->successors.front().instance);
    for (auto &other : m_instances) {
        const auto index = other.index;
        other.cutFromPeers = true;
        other.cutFromStore = index != owner.index;
        scheduleRecovery(until, [this, index] {
            m_instances[index].cutFromPeers = false;
            m_instances[index].cutFromStore = false;
        });
        for (std::uint32_t simWorker = 0; simWorker < workerCount; ++simWorker) {
            const bool reached =
                index == owner.index ? simWorker != 0 : index == successor && simWorker == 0;
            if (!reached)
                m_cutUntil[{index, simWorker}] = until;
        }
    }
}

// The owner is isolated while another instance takes over and moves the tasks of worker 0. Then
// worker 0 restarts, and the previous owner is the first to contact it.
void coordination_world::restartWorkerUnderIsolation(instance &owner)
{
    const auto from = m_network.now();
    const auto index = owner.index;
    isolateWithWorker0(owner, 12s);
    m_cutUntil[{index, 0}] = from + 3500ms;
    for (const auto &other : m_instances) {
        if (other.index != index)
            m_cutUntil.erase({other.index, 0});
    }
    m_network.schedule(from + 2400ms, [this, index] {
        auto &simWorker = m_workers[0];
        const auto running = simWorker.rules.running();
        for (const auto &task : running)
            simWorker.rules.taskEnded(task);
        simWorker.failsAll = true;
    });
    m_network.schedule(from + 3450ms, [this, index] {
        restartWorker(0);
        m_workers[0].failsAll = false;
        for (const auto &other : m_instances) {
            if (other.index != index)
                m_cutUntil[{other.index, 0}] = m_network.now() + 4s;
        }
    });
}

void coordination_world::restartWorker(std::uint32_t index)
{
    auto &simWorker = m_workers[index];
    simWorker.rules = backend::worker_order_handler(worker_id {index}, simWorker.rules.boot() + 1);
    simWorker.bootAt = m_network.now();
    simWorker.receivedEpochs.clear();
    simWorker.highestAcceptedEpoch = {};
}

void coordination_world::startScenario(const std::string &scenario)
{
    const auto owner = [this]() -> instance * {
        for (auto &self : m_instances) {
            if (self.alive && self.ownership->authority())
                return &self;
        }
        return nullptr;
    };
    const auto onOwner = [this, owner](auto action) {
        m_network.schedule(faultsStart, [owner, action] {
            if (auto *self = owner())
                action(*self);
        });
    };
    if (scenario == "takeover after a crash")
        onOwner([this](instance &self) { inject(fault::Crash, self); });
    else if (scenario == "takeover after a pause")
        onOwner([this](instance &self) { inject(fault::PausePastLease, self); });
    else if (scenario == "planned handover")
        onOwner([this](instance &self) {
            self.members->markStopping();
            self.stopping = true;
            process(self, ownership_event(handover_requested {}));
        });
    else if (scenario == "takeover while the store is unavailable")
        onOwner([this](instance &self) {
            inject(fault::StoreUnavailable, self);
            inject(fault::Crash, self);
        });
    else if (scenario == "owner isolated from peers and store")
        onOwner([this](instance &self) {
            inject(fault::CutFromPeers, self);
            inject(fault::CutFromStore, self);
        });
    else if (scenario == "only the previous owner reaches a worker")
        onOwner([this](instance &self) { isolateWithWorker0(self, 22s); });
    else if (scenario == "a worker of a crashed owner is unreachable")
        onOwner([this](instance &self) {
            for (const auto &other : m_instances)
                m_cutUntil[{other.index, 0}] = m_network.now() + 20s;
            inject(fault::Crash, self);
        });
    else if (scenario == "the owner loses contact with a worker")
        onOwner([this](instance &self) { m_cutUntil[{self.index, 0}] = m_network.now() + 14s; });
    else if (scenario == "replies of a worker are lost")
        onOwner([this](instance &self) {
            m_repliesLostUntil[{self.index, 0}] = m_network.now() + 14s;
        });
    else if (scenario == "a successor reaches only one worker")
        onOwner([this](instance &self) { splitOwnerAndSuccessor(self); });
    else if (scenario == "a worker restarts and loses its epoch")
        onOwner([this](instance &self) { restartWorkerUnderIsolation(self); });
    else if (scenario == "cancellations")
        m_network.schedule(faultsStart, [this] { cancelAllTasks(); });
}

void coordination_world::arm(const cell &matrixCell)
{
    m_cell = matrixCell;
    const bool atBound = matrixCell.first.injectedFault == fault::ClockDriftAtBound
                         || matrixCell.second == fault::ClockDriftAtBound;
    if (atBound) {
        for (auto &self : m_instances)
            self.rate = 1 + driftAtBound;
        for (auto &simWorker : m_workers)
            simWorker.rate = 1 - driftAtBound;
    }
    const sim_time from = matrixCell.scenario == "first claim" ? 0s : faultsStart;
    m_network.schedule(from, [this] { m_armed = true; });
    m_network.schedule(faultsEnd, [this] { m_armed = false; });
}

cell_result coordination_world::run(const cell &matrixCell)
{
    arm(matrixCell);
    startScenario(matrixCell.scenario);
    return finish(cellEnd);
}

cell_result coordination_world::runRandom(sim_time span)
{
    constexpr std::array faults = {fault::Crash,          fault::PausePastLease,
                                   fault::PausePastGrace, fault::StoreUnavailable,
                                   fault::StoreReplyLost, fault::StoreSlow,
                                   fault::CutFromPeers,   fault::CutFromWorkers,
                                   fault::CutFromStore,   fault::ConcurrentActor,
                                   fault::WorkerFailsAll, fault::MassCancellation,
                                   fault::WorkerRestart};
    auto &random = m_network.random();
    std::uniform_int_distribution<std::size_t> faultIndex(0, faults.size() - 1);
    std::uniform_int_distribution<std::uint32_t> who(0, instanceCount - 1);
    std::uniform_int_distribution<std::int64_t> wait(100, 5000);
    for (sim_time when = 5s; when < span - 40s; when += std::chrono::milliseconds(wait(random))) {
        const fault drawn = faults[faultIndex(random)];
        const auto victim = who(random);
        m_network.schedule(when, [this, drawn, victim] { inject(drawn, m_instances[victim]); });
    }
    std::uniform_int_distribution<int> message(0, 30);
    m_network.setPhaseHook([this, message, span](step, phase, std::uint32_t) mutable {
        constexpr std::array disturbances = {fault::Lost, fault::Duplicated, fault::Delayed,
                                             fault::Reordered};
        const auto drawn = static_cast<std::size_t>(message(m_network.random()));
        if (drawn < disturbances.size() && m_network.now() < span - 40s)
            m_network.setMessageFault(disturbances[drawn]);
    });
    return finish(span);
}

} // namespace plantaingap::matrix

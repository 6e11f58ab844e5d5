#include "matrix/coordination_world.h"

#include <algorithm>

namespace plantaingap::matrix {

using namespace std::chrono_literals;

namespace {

constexpr sim_time faultsFrom = 6s;
constexpr sim_time faultsUntil = 16s;
constexpr sim_time cellEnd = 52s;

} // namespace

void coordination_world::heal(sim_time when, std::function<void()> run)
{
    m_network.at(when, std::move(run));
}

void coordination_world::cancelAll()
{
    for (auto &self : m_instances) {
        if (!self.alive || !self.ownership->authority() || self.pausedUntil > m_network.now())
            continue;
        for (const auto &at : m_workers) {
            const auto running = at.rules.running();
            for (const auto &task : running)
                give(self, lease_event(stop_requested {task}));
        }
    }
}

void coordination_world::inject(fault what, instance &victim)
{
    const auto now = m_network.now();
    const auto index = victim.index;
    const auto cut = [&](bool instance::*link, sim_time span) {
        victim.*link = true;
        heal(now + span, [this, index, link] { m_instances[index].*link = false; });
    };
    switch (what) {
    case fault::Crash:
        if (!victim.alive)
            return;
        victim.alive = false;
        tellGone(victim.ref);
        heal(now + 2500ms, [this, index] { start(index); });
        return;
    case fault::PausePastLease:
        victim.pausedUntil = now + 4500ms;
        return;
    case fault::PausePastGrace:
        victim.pausedUntil = now + 9s;
        return;
    case fault::StoreUnavailable:
        m_storeAwayUntil = now + 9s;
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
    case fault::Rival:
        // The others believe the sender gone, and the table is away: its successors act at once.
        m_storeAwayUntil = now + 4s;
        for (auto &other : m_instances) {
            const auto which = other.index;
            other.cutFromPeers = true;
            heal(now + 5s, [this, which] { m_instances[which].cutFromPeers = false; });
        }
        return;
    case fault::ClockAtBound:
        // Rates change from here on would move clocks back; they are set at the start of the cell.
        return;
    case fault::WorkerFailsAll:
        m_workers[0].failsAll = true;
        heal(now + 3s, [this] { m_workers[0].failsAll = false; });
        return;
    case fault::CancellationWave:
        cancelAll();
        return;
    case fault::WorkerRestart:
        restartWorker(index % workerCount);
        return;
    default:
        m_network.disturb(what);
    }
}

// The owner reaches worker 0 and nothing else; the others reach everything but worker 0.
void coordination_world::isolate(instance &self, sim_time span)
{
    const auto until = m_network.now() + span;
    const auto index = self.index;
    self.cutFromPeers = true;
    self.cutFromStore = true;
    heal(until, [this, index] {
        m_instances[index].cutFromPeers = false;
        m_instances[index].cutFromStore = false;
    });
    for (const auto &other : m_instances) {
        for (std::uint32_t at = 0; at < workerCount; ++at) {
            if ((at == 0) != (other.index == index))
                m_cutUntil[{other.index, at}] = until;
        }
    }
}

// The first successor, without the store, reaches worker 0 alone; the owner, with the store, all
// but that one; the third instance nothing.
void coordination_world::splitBySuccessor(instance &owner)
{
    const auto until = m_network.now() + 14s;
    const auto successor = number(m_row->successors.front().instance);
    for (auto &other : m_instances) {
        const auto index = other.index;
        other.cutFromPeers = true;
        other.cutFromStore = index != owner.index;
        heal(until, [this, index] {
            m_instances[index].cutFromPeers = false;
            m_instances[index].cutFromStore = false;
        });
        for (std::uint32_t at = 0; at < workerCount; ++at) {
            const bool reached = index == owner.index ? at != 0 : index == successor && at == 0;
            if (!reached)
                m_cutUntil[{index, at}] = until;
        }
    }
}

// The owner is cut off while another takes over and moves what ran on worker 0; then worker 0
// restarts, and the former owner is the first to find it.
void coordination_world::forgetEpoch(instance &owner)
{
    const auto from = m_network.now();
    const auto index = owner.index;
    isolate(owner, 12s);
    m_cutUntil[{index, 0}] = from + 3500ms;
    for (const auto &other : m_instances) {
        if (other.index != index)
            m_cutUntil.erase({other.index, 0});
    }
    m_network.at(from + 2400ms, [this, index] {
        auto &at = m_workers[0];
        const auto running = at.rules.running();
        for (const auto &task : running)
            at.rules.taskEnded(task);
        at.failsAll = true;
    });
    m_network.at(from + 3450ms, [this, index] {
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
    auto &at = m_workers[index];
    at.rules = backend::worker_rules(worker_id {index}, at.rules.boot() + 1);
    at.bootAt = m_network.now();
    at.asked.clear();
    at.obeyed = {};
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
    const auto onOwner = [this, owner](auto act) {
        m_network.at(faultsFrom, [owner, act] {
            if (auto *self = owner())
                act(*self);
        });
    };
    if (scenario == "takeover after a kill")
        onOwner([this](instance &self) { inject(fault::Crash, self); });
    else if (scenario == "takeover after a pause")
        onOwner([this](instance &self) { inject(fault::PausePastLease, self); });
    else if (scenario == "planned handover")
        onOwner([this](instance &self) {
            self.members->stop();
            self.stopping = true;
            give(self, ownership_event(handover_requested {}));
        });
    else if (scenario == "takeover with the store away")
        onOwner([this](instance &self) {
            inject(fault::StoreUnavailable, self);
            inject(fault::Crash, self);
        });
    else if (scenario == "owner cut off from the rest")
        onOwner([this](instance &self) {
            inject(fault::CutFromPeers, self);
            inject(fault::CutFromStore, self);
        });
    else if (scenario == "a worker reached by the former owner alone")
        onOwner([this](instance &self) { isolate(self, 22s); });
    else if (scenario == "a dead owner's worker cannot be reached")
        onOwner([this](instance &self) {
            for (const auto &other : m_instances)
                m_cutUntil[{other.index, 0}] = m_network.now() + 20s;
            inject(fault::Crash, self);
        });
    else if (scenario == "a worker falls silent")
        onOwner([this](instance &self) { m_cutUntil[{self.index, 0}] = m_network.now() + 14s; });
    else if (scenario == "a worker's answers are lost")
        onOwner([this](instance &self) { m_deafUntil[{self.index, 0}] = m_network.now() + 14s; });
    else if (scenario == "a successor holds one worker")
        onOwner([this](instance &self) { splitBySuccessor(self); });
    else if (scenario == "a worker forgets its epoch")
        onOwner([this](instance &self) { forgetEpoch(self); });
    else if (scenario == "cancellations")
        m_network.at(faultsFrom, [this] { cancelAll(); });
}

void coordination_world::arm(const cell &what)
{
    m_cell = what;
    const bool atBound =
        what.first.what == fault::ClockAtBound || what.second == fault::ClockAtBound;
    if (atBound) {
        for (auto &self : m_instances)
            self.rate = 1 + driftAtBound;
        for (auto &at : m_workers)
            at.rate = 1 - driftAtBound;
    }
    const sim_time from = what.scenario == "first claim" ? 0s : faultsFrom;
    m_network.at(from, [this] { m_armed = true; });
    m_network.at(faultsUntil, [this] { m_armed = false; });
}

cell_result coordination_world::run(const cell &what)
{
    arm(what);
    startScenario(what.scenario);
    return finish(cellEnd);
}

cell_result coordination_world::runRandom(sim_time span)
{
    constexpr std::array faults = {
        fault::Crash,        fault::PausePastLease, fault::PausePastGrace,
        fault::StoreUnavailable,    fault::StoreReplyLost, fault::StoreSlow,
        fault::CutFromPeers, fault::CutFromWorkers, fault::CutFromStore,
        fault::Rival,        fault::WorkerFailsAll, fault::CancellationWave,
        fault::WorkerRestart};
    auto &random = m_network.random();
    std::uniform_int_distribution<std::size_t> what(0, faults.size() - 1);
    std::uniform_int_distribution<std::uint32_t> who(0, instanceCount - 1);
    std::uniform_int_distribution<std::int64_t> wait(100, 5000);
    for (sim_time when = 5s; when < span - 40s; when += std::chrono::milliseconds(wait(random))) {
        const fault drawn = faults[what(random)];
        const auto victim = who(random);
        m_network.at(when, [this, drawn, victim] { inject(drawn, m_instances[victim]); });
    }
    std::uniform_int_distribution<int> message(0, 30);
    m_network.onPhase([this, message, span](step, phase, std::uint32_t) mutable {
        constexpr std::array disturbances = {fault::Lost, fault::Duplicated, fault::Delayed,
                                             fault::Reordered};
        const auto drawn = static_cast<std::size_t>(message(m_network.random()));
        if (drawn < disturbances.size() && m_network.now() < span - 40s)
            m_network.disturb(disturbances[drawn]);
    });
    return finish(span);
}

} // namespace plantaingap::matrix

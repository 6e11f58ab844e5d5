#include "matrix/membership_world.h"

#include <algorithm>
#include <plantaingap/invariant.h>

namespace plantaingap::matrix {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t instanceCount = 4;
constexpr region_id region {1};
constexpr worker_id leavingWorker {0};
constexpr sim_time tickInterval = 100ms;
constexpr sim_time faultsStart = 3s;
constexpr sim_time faultsEnd = 10s;
constexpr sim_time listLag = 12s;
constexpr sim_time detectionTimeout = 2s;
constexpr sim_time cellEnd = 30s;

void require(bool holds, const char *name)
{
    if (!holds)
        throw invariant_violation {name};
}

} // namespace

membership_world::membership_world(std::uint64_t seed)
    : m_network(seed)
    , m_instances(instanceCount)
{
    for (std::uint32_t index = 0; index < instanceCount; ++index) {
        m_instances[index].index = index;
        m_instances[index].ref.instance = instance_id {index};
        start(index);
    }
    m_network.setPhaseHook([this](step reachedStep, phase reachedPhase, std::uint32_t sender) {
        handlePhase(reachedStep, reachedPhase, sender);
    });
}

void membership_world::start(std::uint32_t index)
{
    auto &self = m_instances[index];
    ++self.ref.incarnation;
    self.alive = true;
    self.pausedUntil = {};
    self.startedAt = m_network.now();
    self.healthySince = m_network.now();
    self.ticks = 0;
    self.leaving.clear();
    self.observedStopping.clear();
    self.machine = std::make_unique<peer::membership>(self.ref, region, membership_limits {});
    scheduleTick(index);
}

void membership_world::scheduleTick(std::uint32_t index)
{
    const auto incarnation = m_instances[index].ref.incarnation;
    m_network.schedule(std::max(m_network.now() + tickInterval, m_instances[index].pausedUntil),
                       [this, index, incarnation] {
                           auto &self = m_instances[index];
                           if (!self.alive || self.ref.incarnation != incarnation)
                               return;
                           if (self.pausedUntil <= m_network.now())
                               tick(self);
                           scheduleTick(index);
                       });
}

// The platform's list as of a time. Instance 0 reads the current list, the others a lagging one.
platform_list_read membership_world::listAt(sim_time when) const
{
    platform_list_read list;
    list.revision = static_cast<std::uint64_t>(std::max<std::int64_t>(1, when / 100ms));
    for (std::uint32_t index = 0; index < instanceCount; ++index)
        list.instances.push_back({instance_id {index}, false});
    const bool leaving = when >= m_leavingMarkedAt && when < m_markClearedAt;
    list.workers.push_back({leavingWorker, leaving});
    list.workers.push_back({worker_id {1}, false});
    return list;
}

void membership_world::readList(instance &self)
{
    handlePhase(step::ListRead, phase::BeforeSend, self.index);
    if (!self.alive)
        return;
    const sim_time lag = self.index == 0 ? 0s : listLag;
    m_network.call(step::ListRead, self.index,
                   [this, index = self.index, incarnation = self.ref.incarnation,
                    lag]() -> network::reply_handler {
                       return [this, index, incarnation, list = listAt(m_network.now() - lag)] {
                           auto &later = m_instances[index];
                           if (later.alive && later.ref.incarnation == incarnation
                               && later.pausedUntil <= m_network.now())
                               process(later, list);
                       };
                   },
                   {});
}

void membership_world::tick(instance &self)
{
    process(self, membership_tick {});
    checkTick(self);
    if (++self.ticks % 5 == 0)
        readList(self);
    if (self.ticks % 3 != 0 || !self.alive)
        return;
    handlePhase(step::Heartbeat, phase::BeforeSend, self.index);
    if (!self.alive)
        return;
    const heartbeat_received message {self.ref,
                                      region,
                                      self.ticks,
                                      self.stopping,
                                      self.machine->recentPeers(),
                                      self.machine->leavingWorkers()};
    for (const auto &peer : m_instances) {
        if (peer.index == self.index)
            continue;
        m_network.call(
            step::Heartbeat, self.index,
            [this, from = self.index, to = peer.index, message]() -> network::reply_handler {
                auto &receiver = m_instances[to];
                const bool cut = receiver.cut || m_instances[from].cut;
                if (cut || !receiver.alive || receiver.pausedUntil > m_network.now())
                    return {};
                process(receiver, message);
                return [] {};
            },
            {});
    }
}

void membership_world::process(instance &self, const membership_event &event)
{
    std::vector<membership_action> actions;
    self.machine->step(event, localTime(), actions);
    for (const auto &action : actions) {
        if (const auto *changed = std::get_if<instance_changed>(&action)) {
            const bool live = changed->state == instance_state::Live;
            const auto &other = m_instances[number(changed->instance.instance)];
            require(!live || !other.stopping || !self.observedStopping.contains(other.index),
                    "a stopping instance does not become live again");
            if (changed->state == instance_state::Stopping)
                self.observedStopping.insert(other.index);
        }
        if (const auto *detected = std::get_if<worker_leaving_detected>(&action)) {
            require(!self.leaving.contains(number(detected->worker)),
                    "a cleared leaving mark does not return");
            self.leaving[number(detected->worker)] = true;
        }
        if (const auto *staying = std::get_if<worker_staying_detected>(&action)) {
            require(m_network.now() >= m_markClearedAt,
                    "an older list does not clear a leaving mark");
            self.leaving[number(staying->worker)] = false;
        }
    }
}

// An instance must know of the leaving worker once it and instance 0, which reads the current list,
// have both been healthy for the detection timeout plus one second.
void membership_world::checkTick(const instance &self) const
{
    const auto now = m_network.now();
    const auto &first = m_instances[0];
    const sim_time requiredSince =
        std::max({m_leavingMarkedAt, self.healthySince, first.healthySince});
    const bool isOverdue = requiredSince != sim_time::max()
                           && now > requiredSince + detectionTimeout + 1s && now < m_markClearedAt;
    const bool bothHealthy = !self.cut && !first.cut && first.alive && first.pausedUntil <= now;
    if (isOverdue && bothHealthy) {
        const auto found = self.leaving.find(number(leavingWorker));
        require(found != self.leaving.end() && found->second,
                "a leaving worker is detected in time");
    }
}

void membership_world::checkEnd() const
{
    for (const auto &self : m_instances) {
        const auto candidates = self.machine->candidates();
        for (const auto &other : m_instances) {
            const bool isCandidate = std::ranges::find(candidates, other.ref) != candidates.end();
            const bool isExpected = !other.stopping;
            require(isCandidate == isExpected || self.stopping,
                    "every live instance is a candidate");
        }
        const auto found = self.leaving.find(number(leavingWorker));
        const bool leaving = found != self.leaving.end() && found->second;
        require(!leaving, "a worker that stays has no leaving mark");
    }
}

void membership_world::handlePhase(step reachedStep, phase reachedPhase, std::uint32_t sender)
{
    const bool isInjectionPoint =
        m_armed && reachedStep == m_cell.first.atStep && reachedPhase == m_cell.first.atPhase;
    if (!isInjectionPoint || ++m_occurrences != m_cell.first.occurrence)
        return;
    m_reached = true;
    inject(m_cell.first.injectedFault, m_instances[sender]);
    if (m_cell.second) {
        m_network.schedule(m_network.now() + 200ms,
                           [this, sender] { inject(*m_cell.second, m_instances[sender]); });
    }
}

void membership_world::inject(fault injected, instance &victim)
{
    const auto now = m_network.now();
    const auto index = victim.index;
    switch (injected) {
    case fault::Crash:
        victim.alive = false;
        m_network.schedule(now + 1s, [this, index] {
            if (!m_instances[index].alive)
                start(index);
        });
        return;
    case fault::PausePastLease:
        victim.pausedUntil = now + 3s;
        victim.healthySince = now + 3s;
        return;
    case fault::CutFromPeers:
        victim.cut = true;
        victim.healthySince = now + 3s;
        m_network.schedule(now + 3s, [this, index] { m_instances[index].cut = false; });
        return;
    default:
        m_network.setMessageFault(injected);
    }
}

cell_result membership_world::run(const cell &matrixCell)
{
    m_cell = matrixCell;
    m_network.schedule(faultsStart, [this] { m_armed = true; });
    m_network.schedule(faultsEnd, [this] { m_armed = false; });
    m_network.schedule(faultsStart + 500ms, [this] { m_leavingMarkedAt = m_network.now(); });
    m_network.schedule(faultsEnd + 100ms, [this] { m_markClearedAt = m_network.now(); });
    if (matrixCell.scenario == "planned stop of an instance") {
        m_network.schedule(faultsStart + 400ms, [this] {
            m_instances[3].stopping = true;
            m_instances[3].machine->markStopping();
        });
    }
    cell_result result;
    invariantHandler = [](const char *name, const char *, int) {
        throw invariant_violation {name};
    };
    try {
        m_network.runUntil(cellEnd);
        checkEnd();
    } catch (const invariant_violation &broken) {
        result.violatedInvariant = broken.name;
    }
    invariantHandler = abortOnInvariant;
    result.reached = m_reached;
    result.steps = m_network.steps();
    return result;
}

} // namespace plantaingap::matrix

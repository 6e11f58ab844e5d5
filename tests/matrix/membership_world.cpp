#include "matrix/membership_world.h"

#include <algorithm>
#include <plantaingap/invariant.h>

namespace plantaingap::matrix {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t instanceCount = 4;
constexpr region_id region {1};
constexpr worker_id leaver {0};
constexpr sim_time tickEvery = 100ms;
constexpr sim_time faultsFrom = 3s;
constexpr sim_time faultsUntil = 10s;
constexpr sim_time listLag = 12s;
constexpr sim_time knownWithin = 2s;
constexpr sim_time cellEnd = 30s;

void require(bool holds, const char *name)
{
    if (!holds)
        throw broken_invariant {name};
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
    m_network.onPhase(
        [this](step what, phase when, std::uint32_t sender) { meet(what, when, sender); });
}

void membership_world::start(std::uint32_t index)
{
    auto &self = m_instances[index];
    ++self.ref.incarnation;
    self.alive = true;
    self.pausedUntil = {};
    self.startedAt = m_network.now();
    self.wholeSince = m_network.now();
    self.beats = 0;
    self.leaving.clear();
    self.knowsStopping.clear();
    self.machine = std::make_unique<peer::membership>(self.ref, region, membership_limits {});
    scheduleTick(index);
}

void membership_world::scheduleTick(std::uint32_t index)
{
    const auto incarnation = m_instances[index].ref.incarnation;
    m_network.at(std::max(m_network.now() + tickEvery, m_instances[index].pausedUntil),
                 [this, index, incarnation] {
                     auto &self = m_instances[index];
                     if (!self.alive || self.ref.incarnation != incarnation)
                         return;
                     if (self.pausedUntil <= m_network.now())
                         tick(self);
                     scheduleTick(index);
                 });
}

// The list that an instance sees: the first sees it as it is, the others as it was.
platform_list_read membership_world::listAt(sim_time when) const
{
    platform_list_read list;
    list.revision = static_cast<std::uint64_t>(std::max<std::int64_t>(1, when / 100ms));
    for (std::uint32_t index = 0; index < instanceCount; ++index)
        list.instances.push_back({instance_id {index}, false});
    const bool leaving = when >= m_markedAt && when < m_stayingAt;
    list.workers.push_back({leaver, leaving});
    list.workers.push_back({worker_id {1}, false});
    return list;
}

void membership_world::readList(instance &self)
{
    meet(step::ListRead, phase::BeforeSend, self.index);
    if (!self.alive)
        return;
    const sim_time lag = self.index == 0 ? 0s : listLag;
    m_network.call(
        step::ListRead, self.index,
        [this, index = self.index, incarnation = self.ref.incarnation, lag]() -> network::answer {
            return [this, index, incarnation, list = listAt(m_network.now() - lag)] {
                auto &later = m_instances[index];
                if (later.alive && later.ref.incarnation == incarnation
                    && later.pausedUntil <= m_network.now())
                    give(later, list);
            };
        },
        {});
}

void membership_world::tick(instance &self)
{
    give(self, membership_tick {});
    checkTick(self);
    if (++self.beats % 5 == 0)
        readList(self);
    if (self.beats % 3 != 0 || !self.alive)
        return;
    meet(step::Heartbeat, phase::BeforeSend, self.index);
    if (!self.alive)
        return;
    const heartbeat_received message {self.ref,
                                   region,
                                   self.beats,
                                   self.stopping,
                                   self.machine->recentPeers(),
                                   self.machine->leavingWorkers()};
    for (const auto &peer : m_instances) {
        if (peer.index == self.index)
            continue;
        m_network.call(step::Heartbeat, self.index,
                       [this, from = self.index, to = peer.index, message]() -> network::answer {
                           auto &receiver = m_instances[to];
                           const bool cut = receiver.cut || m_instances[from].cut;
                           if (cut || !receiver.alive || receiver.pausedUntil > m_network.now())
                               return {};
                           give(receiver, message);
                           return [] {};
                       },
                       {});
    }
}

void membership_world::give(instance &self, const membership_event &event)
{
    std::vector<membership_action> actions;
    self.machine->step(event, localTime(), actions);
    for (const auto &action : actions) {
        if (const auto *changed = std::get_if<instance_changed>(&action)) {
            const bool live = changed->state == instance_state::Live;
            const auto &other = m_instances[number(changed->instance.instance)];
            require(!live || !other.stopping || !self.knowsStopping.contains(other.index),
                    "an instance that stops is not seen as live again");
            if (changed->state == instance_state::Stopping)
                self.knowsStopping.insert(other.index);
        }
        if (const auto *seen = std::get_if<worker_leaving_detected>(&action)) {
            require(!self.leaving.contains(number(seen->worker)),
                    "a mark that was lifted does not come back");
            self.leaving[number(seen->worker)] = true;
        }
        if (const auto *staying = std::get_if<worker_staying_detected>(&action)) {
            require(m_network.now() >= m_stayingAt, "a mark is not taken back by an older list");
            self.leaving[number(staying->worker)] = false;
        }
    }
}

// Whoever has been whole for the time allowed, as has the first instance, knows of the leaving.
void membership_world::checkTick(const instance &self) const
{
    const auto now = m_network.now();
    const auto &first = m_instances[0];
    const sim_time since = std::max({m_markedAt, self.wholeSince, first.wholeSince});
    const bool due =
        since != sim_time::max() && now > since + knownWithin + 1s && now < m_stayingAt;
    const bool bothWhole = !self.cut && !first.cut && first.alive && first.pausedUntil <= now;
    if (due && bothWhole) {
        const auto found = self.leaving.find(number(leaver));
        require(found != self.leaving.end() && found->second, "a leaving worker is known in time");
    }
}

void membership_world::checkEnd() const
{
    for (const auto &self : m_instances) {
        const auto candidates = self.machine->candidates();
        for (const auto &other : m_instances) {
            const bool named = std::ranges::find(candidates, other.ref) != candidates.end();
            const bool wanted = !other.stopping;
            require(named == wanted || self.stopping, "every live instance is seen as live");
        }
        const auto found = self.leaving.find(number(leaver));
        const bool leaving = found != self.leaving.end() && found->second;
        require(!leaving, "a worker that stays is no longer marked");
    }
}

void membership_world::meet(step what, phase when, std::uint32_t sender)
{
    const bool meant = m_armed && what == m_cell.first.at && when == m_cell.first.when;
    if (!meant || ++m_occurrences != m_cell.first.occurrence)
        return;
    m_reached = true;
    inject(m_cell.first.what, m_instances[sender]);
    if (m_cell.second) {
        m_network.at(m_network.now() + 200ms,
                     [this, sender] { inject(*m_cell.second, m_instances[sender]); });
    }
}

void membership_world::inject(fault what, instance &victim)
{
    const auto now = m_network.now();
    const auto index = victim.index;
    switch (what) {
    case fault::Crash:
        victim.alive = false;
        m_network.at(now + 1s, [this, index] {
            if (!m_instances[index].alive)
                start(index);
        });
        return;
    case fault::PausePastLease:
        victim.pausedUntil = now + 3s;
        victim.wholeSince = now + 3s;
        return;
    case fault::CutFromPeers:
        victim.cut = true;
        victim.wholeSince = now + 3s;
        m_network.at(now + 3s, [this, index] { m_instances[index].cut = false; });
        return;
    default:
        m_network.disturb(what);
    }
}

cell_result membership_world::run(const cell &what)
{
    m_cell = what;
    m_network.at(faultsFrom, [this] { m_armed = true; });
    m_network.at(faultsUntil, [this] { m_armed = false; });
    m_network.at(faultsFrom + 500ms, [this] { m_markedAt = m_network.now(); });
    m_network.at(faultsUntil + 100ms, [this] { m_stayingAt = m_network.now(); });
    if (what.scenario == "an instance is stopped by plan") {
        m_network.at(faultsFrom + 400ms, [this] {
            m_instances[3].stopping = true;
            m_instances[3].machine->markStopping();
        });
    }
    cell_result result;
    invariantHandler = [](const char *name, const char *, int) { throw broken_invariant {name}; };
    try {
        m_network.runUntil(cellEnd);
        checkEnd();
    } catch (const broken_invariant &broken) {
        result.broken = broken.name;
    }
    invariantHandler = abortOnInvariant;
    result.reached = m_reached;
    result.steps = m_network.steps();
    return result;
}

} // namespace plantaingap::matrix
